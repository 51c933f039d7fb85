#pragma once

#include "gateway/Acceptor.h"
#include "gateway/AdminHandler.h"
#include "gateway/ReadinessHandler.h"
#include "gateway/WorkerPool.h"
#include "http/BlockingServer.h"
#include "platform/HttpDialect.h"
#include "platform/ManifestCodec.h"
#include "platform/Paths.h"
#include "platform/StoreApi.h"
#include "replication/PeerSync.h"
#include "replication/PeerTransport.h"
#include "sync/FleetTask.h"
#include "sync/ManifestTask.h"
#include "sync/NodesTask.h"
#include "sync/StorePoller.h"

namespace redwingseam {

// All parts of a gateway on the platform, in the order in which they start.
class GatewayProcess {
public:
    explicit GatewayProcess(const gateway::GatewaySettings&);

    // Starts to serve clients. Error SocketFailure if an address is taken.
    base::Error listen();
    // Takes no new clients, lets running requests end, and returns whether all did in time.
    bool drain();
    gateway::GatewayState& state() { return m_state; }

private:
    using PeerSync = replication::PeerSync<platform::ManifestCodec>;
    using WorkerPool = gateway::WorkerPool<platform::HttpDialect>;

    // Calls that take longer are given up; a slow store answers in a few hundred milliseconds.
    static constexpr base::Duration storeTimeout = std::chrono::milliseconds(1200);

    static base::Duration manifestBound(const gateway::GatewaySettings&);
    static sync::NodeRecord recordOf(const gateway::GatewaySettings&);
    static sync::PollSchedule nodesSchedule();
    static sync::PollSchedule manifestSchedule(const gateway::GatewaySettings&);
    static sync::PollSchedule fleetSchedule(const gateway::GatewaySettings&);
    bool isInformed() const { return m_state.manifest.state().index && m_state.fleet.listedAt() != base::Instant {}; }
    // Waits until other nodes told the manifest and the upstreams, or it is this node's turn to ask the store.
    void awaitIntroduction();
    // Waits until the manifest and the upstreams are known, or no longer makes sense.
    void awaitKnowledge();

    gateway::GatewayState m_state;
    sync::NodeRole m_role;
    sync::UpstreamListCache m_upstreamCache;
    PeerSync m_peerSync;
    replication::PeerTransport<PeerSync> m_peers;
    platform::StoreApi m_manifestReader;
    platform::StoreApi m_fleetReader;
    platform::StoreApi m_nodesReader;
    sync::ManifestTask<platform::StoreApi> m_manifestTask;
    sync::FleetTask<platform::StoreApi> m_fleetTask;
    sync::NodesTask<platform::StoreApi, PeerSync> m_nodesTask;
    std::unique_ptr<sync::StorePoller<sync::NodesTask<platform::StoreApi, PeerSync>>> m_nodesPoller;
    std::unique_ptr<sync::StorePoller<sync::ManifestTask<platform::StoreApi>>> m_manifestPoller;
    std::unique_ptr<sync::StorePoller<sync::FleetTask<platform::StoreApi>>> m_fleetPoller;
    gateway::ReadinessHandler m_readiness;
    gateway::AdminHandler m_admin;
    std::unique_ptr<http::BlockingServer<gateway::ReadinessHandler>> m_readinessServer;
    std::unique_ptr<http::BlockingServer<gateway::AdminHandler>> m_adminServer;
    WorkerPool m_workers;
    std::unique_ptr<gateway::Acceptor<WorkerPool>> m_acceptor;
};

} // namespace redwingseam
