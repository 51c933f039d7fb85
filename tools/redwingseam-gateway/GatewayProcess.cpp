#include "GatewayProcess.h"

#include "base/Condition.h"

namespace redwingseam {

base::Duration GatewayProcess::manifestBound(const gateway::GatewaySettings& settings)
{
    if (settings.revocationBound == base::Duration {})
        return settings.manifestBound;
    return std::min(settings.manifestBound, settings.revocationBound);
}

sync::PollSchedule GatewayProcess::manifestSchedule(const gateway::GatewaySettings& settings)
{
    // A lost call and its repetition still leave the manifest confirmed.
    static constexpr int pollsInBound = 3;
    return { manifestBound(settings) / pollsInBound, manifestBound(settings) / (2 * pollsInBound) };
}

sync::NodeRecord GatewayProcess::recordOf(const gateway::GatewaySettings& settings)
{
    return { settings.vmName, settings.dataCentre, settings.peerAddress.text() };
}

sync::PollSchedule GatewayProcess::nodesSchedule()
{
    // Nodes come and go over minutes; one that is new makes itself known by its own questions.
    return { std::chrono::seconds(5), std::chrono::milliseconds(700) };
}

sync::PollSchedule GatewayProcess::fleetSchedule(const gateway::GatewaySettings& settings)
{
    // Changes that come together are taken in one call; each call is billed.
    static constexpr int pausesInBound = 8;
    return { settings.drainBound / pausesInBound, settings.drainBound / pausesInBound };
}

GatewayProcess::GatewayProcess(const gateway::GatewaySettings& settings)
    : m_state(settings)
    , m_peerSync(recordOf(settings), m_state.fleet, m_state.crashes, m_state.manifest, m_upstreamCache, m_role)
    , m_peers(m_peerSync)
    , m_manifestReader(settings.storeAddress, storeTimeout)
    , m_fleetReader(settings.storeAddress, storeTimeout)
    , m_nodesReader(settings.storeAddress, storeTimeout)
    , m_manifestTask(m_manifestReader, m_state.manifest, m_role, manifestBound(settings))
    , m_fleetTask(m_fleetReader, m_state.fleet, m_upstreamCache, m_role, settings.drainBound)
    , m_nodesTask(m_nodesReader, m_peerSync, m_role, recordOf(settings))
    , m_readiness(m_state, std::string(platform::path::ready))
    , m_admin(m_state)
    , m_workers(m_state)
{
}

static base::Error cannotListen(const http::SocketAddress& address)
{
    return { base::ResultCode::SocketFailure, address.text() + ": cannot listen" };
}

base::Error GatewayProcess::listen()
{
    const auto& settings = m_state.settings;
    if (!m_peers.start(settings.peerAddress))
        return cannotListen(settings.peerAddress);
    using NodesPoller = sync::StorePoller<sync::NodesTask<platform::StoreApi, PeerSync>>;
    using ManifestPoller = sync::StorePoller<sync::ManifestTask<platform::StoreApi>>;
    using FleetPoller = sync::StorePoller<sync::FleetTask<platform::StoreApi>>;
    m_nodesPoller = std::make_unique<NodesPoller>("nodes", m_nodesTask, nodesSchedule());
    m_readinessServer = std::make_unique<http::BlockingServer<gateway::ReadinessHandler>>(m_readiness, settings.readinessAddress);
    if (!m_readinessServer->isListening())
        return cannotListen(settings.readinessAddress);
    m_adminServer = std::make_unique<http::BlockingServer<gateway::AdminHandler>>(m_admin, settings.adminAddress);
    if (!m_adminServer->isListening())
        return cannotListen(settings.adminAddress);
    // Clients that connect early wait in the listener's queue until the node knows where to send them.
    auto listener = gateway::listenOn(settings.clientAddress);
    if (!listener.isOpen())
        return cannotListen(settings.clientAddress);
    awaitIntroduction();
    m_manifestPoller = std::make_unique<ManifestPoller>("manifest", m_manifestTask, manifestSchedule(settings));
    m_fleetPoller = std::make_unique<FleetPoller>("fleet", m_fleetTask, fleetSchedule(settings));
    awaitKnowledge();
    m_acceptor = std::make_unique<gateway::Acceptor<WorkerPool>>(std::move(listener), m_workers);
    return {};
}

template<typename Predicate>
static void awaitAtMost(base::Duration longest, Predicate&& predicate)
{
    static constexpr base::Duration checkInterval = std::chrono::milliseconds(10);
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    auto began = base::BootClock {}.now();
    while (!predicate() && base::BootClock {}.now() - began < longest)
        condition.waitFor(mutex, checkInterval);
}

void GatewayProcess::awaitIntroduction()
{
    // The list of nodes, a question to the hub and its answer, with room for one that is lost.
    static constexpr base::Duration longestWait = std::chrono::milliseconds(300);
    awaitAtMost(longestWait, [&] {
        bool isTurn = m_nodesTask.hasListed() && m_peerSync.isFirstKnownNode();
        return isTurn || (isInformed() && !m_role.isLeader());
    });
}

void GatewayProcess::awaitKnowledge()
{
    // Clients give a connection a second, of which a part is gone by now.
    static constexpr base::Duration longestWait = std::chrono::milliseconds(500);
    awaitAtMost(longestWait, [&] { return isInformed(); });
}

bool GatewayProcess::drain()
{
    // The balancer takes a node out after two missed checks, a second apart.
    static constexpr base::Duration shortestDrain = std::chrono::milliseconds(2800);
    static constexpr base::Duration reserve = std::chrono::milliseconds(300);
    static constexpr base::Duration checkInterval = std::chrono::milliseconds(50);
    auto began = base::BootClock {}.now();
    m_state.drainStartedAt = began;
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    for (auto now = began; now - began < m_state.settings.terminationGrace - reserve; now = base::BootClock {}.now()) {
        if (now - began > shortestDrain && !m_state.sessions)
            return true;
        condition.waitFor(mutex, checkInterval);
    }
    return false;
}

} // namespace redwingseam
