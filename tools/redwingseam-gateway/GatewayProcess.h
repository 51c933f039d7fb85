#pragma once

#include "gateway/Acceptor.h"
#include "gateway/AdminHandler.h"
#include "gateway/ReadinessHandler.h"
#include "gateway/WorkerPool.h"
#include "http/BlockingServer.h"
#include "platform/ManifestCodec.h"
#include "platform/Paths.h"
#include "platform/PlatformHeaderCodec.h"
#include "platform/StoreApi.h"
#include "replication/PeerSync.h"
#include "replication/PeerTransport.h"
#include "sync/ManifestTask.h"
#include "sync/NodesTask.h"
#include "sync/OriginsTask.h"
#include "sync/QuarantineTask.h"
#include "sync/StorePoller.h"
#include "sync/UpstreamListTask.h"

namespace redwingseam {

// Owns the components of a gateway on the platform. A component is declared after those that it refers to; start()
// determines the order in which they start.
class GatewayProcess {
public:
    explicit GatewayProcess(const gateway::GatewaySettings&);

    // Starts the servers and the pollers, waits up to 800 ms (300 for peers, then 500) for the manifest and the
    // upstreams, and then accepts clients. Returns SocketFailure if it cannot listen on an address, and Ok otherwise.
    base::Error start();
    // Fails the readiness check, closes each client connection after its current response, and waits until all
    // connections are closed. Returns whether they were closed within the termination grace period.
    bool drain();
    gateway::GatewayState& state() { return m_state; }

private:
    using PeerSync = replication::PeerSync<platform::ManifestCodec>;
    using WorkerPool = gateway::WorkerPool<platform::PlatformHeaderCodec>;

    // A slow store responds within a few hundred milliseconds, so longer calls are abandoned.
    static constexpr base::Duration storeTimeout = std::chrono::milliseconds(1200);

    static base::Duration manifestBound(const gateway::GatewaySettings&);
    static sync::NodeRecord nodeRecord(const gateway::GatewaySettings&);
    static sync::PollSchedule nodesPollSchedule();
    static sync::PollSchedule manifestPollSchedule(const gateway::GatewaySettings&);
    static sync::PollSchedule originsPollSchedule();
    static sync::PollSchedule quarantinePollSchedule();
    static sync::PollSchedule fleetPollSchedule(const gateway::GatewaySettings&);
    bool hasInitialState() const { return m_state.manifest.state().index && m_state.fleet.listedAt() != base::Instant {}; }
    // Waits until peers have sent the manifest and the upstreams, this node is the first to ask the store, or
    // a timeout has passed.
    void awaitStateFromPeers();
    // Waits until the manifest and the upstreams are known, or a timeout has passed.
    void awaitInitialState();

    gateway::GatewayState m_state;
    sync::NodeRole m_role;
    sync::StoreEra m_storeEra;
    sync::UpstreamListCache m_upstreamCache;
    PeerSync m_peerSync;
    replication::PeerTransport<PeerSync> m_peers;
    platform::StoreApi m_manifestStore;
    platform::StoreApi m_fleetStore;
    platform::StoreApi m_nodesStore;
    platform::StoreApi m_originsStore;
    platform::StoreApi m_quarantineStore;
    sync::ManifestTask<platform::StoreApi> m_manifestTask;
    sync::UpstreamListTask<platform::StoreApi> m_upstreamListTask;
    sync::NodesTask<platform::StoreApi, PeerSync> m_nodesTask;
    sync::OriginsTask<platform::StoreApi> m_originsTask;
    sync::QuarantineTask<platform::StoreApi> m_quarantineTask;
    std::unique_ptr<sync::StorePoller<sync::NodesTask<platform::StoreApi, PeerSync>>> m_nodesPoller;
    std::unique_ptr<sync::StorePoller<sync::ManifestTask<platform::StoreApi>>> m_manifestPoller;
    std::unique_ptr<sync::StorePoller<sync::UpstreamListTask<platform::StoreApi>>> m_upstreamListPoller;
    std::unique_ptr<sync::StorePoller<sync::OriginsTask<platform::StoreApi>>> m_originsPoller;
    std::unique_ptr<sync::StorePoller<sync::QuarantineTask<platform::StoreApi>>> m_quarantinePoller;
    gateway::ReadinessHandler m_readiness;
    gateway::AdminHandler m_admin;
    std::unique_ptr<http::BlockingServer<gateway::ReadinessHandler>> m_readinessServer;
    std::unique_ptr<http::BlockingServer<gateway::AdminHandler>> m_adminServer;
    WorkerPool m_workers;
    std::unique_ptr<gateway::Acceptor<WorkerPool>> m_acceptor;
};

} // namespace redwingseam
