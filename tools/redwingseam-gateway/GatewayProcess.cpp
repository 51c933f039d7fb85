#include "GatewayProcess.h"

#include "base/Condition.h"
#include "gateway/GracefulStop.h"

namespace redwingseam {

base::Duration GatewayProcess::manifestBound(const gateway::GatewaySettings& settings)
{
    if (settings.revocationBound == base::Duration {})
        return settings.manifestBound;
    return std::min(settings.manifestBound, settings.revocationBound);
}

sync::PollSchedule GatewayProcess::manifestPollSchedule(const gateway::GatewaySettings& settings)
{
    // The manifest is still confirmed within the bound if one call is lost and repeated.
    static constexpr int pollsPerBound = 3;
    return { manifestBound(settings) / pollsPerBound, manifestBound(settings) / (2 * pollsPerBound) };
}

sync::NodeRecord GatewayProcess::nodeRecord(const gateway::GatewaySettings& settings)
{
    return { settings.vmName, settings.dataCentre, settings.peerAddress.text() };
}

sync::PollSchedule GatewayProcess::nodesPollSchedule()
{
    // The list of nodes changes over minutes, and a new node becomes known to others by its own queries.
    return { std::chrono::seconds(5), std::chrono::milliseconds(700) };
}

sync::PollSchedule GatewayProcess::fleetPollSchedule(const gateway::GatewaySettings& settings)
{
    // Each call is billed, so the pause between calls collects changes that occur close together.
    static constexpr int pollsPerBound = 8;
    return { settings.upstreamRemovalBound / pollsPerBound, settings.upstreamRemovalBound / pollsPerBound };
}

sync::PollSchedule GatewayProcess::originsPollSchedule()
{
    // A poll without news makes no call. A stream is recorded before its prompt has been read.
    return { std::chrono::milliseconds(100), std::chrono::milliseconds(100) };
}

sync::PollSchedule GatewayProcess::quarantinePollSchedule()
{
    // A poll without news makes no call. Calls to a store in trouble are billed too, and the nodes know what they keep there.
    return { std::chrono::milliseconds(250), std::chrono::seconds(2) };
}

GatewayProcess::GatewayProcess(const gateway::GatewaySettings& settings)
    : m_state(settings)
    , m_peerSync(nodeRecord(settings), m_state.fleet, m_state.crashes, m_state.origins, m_state.manifest, m_upstreamCache, m_role, m_storeEra)
    , m_peers(m_peerSync)
    , m_manifestStore(settings.storeAddress, storeTimeout)
    , m_fleetStore(settings.storeAddress, storeTimeout)
    , m_nodesStore(settings.storeAddress, storeTimeout)
    , m_originsStore(settings.storeAddress, storeTimeout)
    , m_quarantineStore(settings.storeAddress, storeTimeout)
    , m_manifestTask(m_manifestStore, m_state.manifest, m_role, m_storeEra, manifestBound(settings))
    , m_upstreamListTask(m_fleetStore, m_state.fleet, m_upstreamCache, m_role, m_storeEra, settings.upstreamRemovalBound)
    , m_nodesTask(m_nodesStore, m_peerSync, m_role, m_storeEra, nodeRecord(settings))
    , m_originsTask(m_originsStore, m_state.manifest, m_state.fleet, m_state.origins, m_upstreamCache, m_role, m_storeEra, settings.vmName)
    , m_quarantineTask(m_quarantineStore, m_state.crashes, m_role, m_storeEra)
    , m_readiness(m_state, std::string(platform::path::ready))
    , m_admin(m_state)
    , m_workers(m_state)
{
}

static base::Error listenError(const http::SocketAddress& address)
{
    return { base::ResultCode::SocketFailure, address.text() + ": cannot listen" };
}

base::Error GatewayProcess::start()
{
    const auto& settings = m_state.settings;
    if (!m_peers.start(settings.peerAddress))
        return listenError(settings.peerAddress);
    using NodesPoller = sync::StorePoller<sync::NodesTask<platform::StoreApi, PeerSync>>;
    using ManifestPoller = sync::StorePoller<sync::ManifestTask<platform::StoreApi>>;
    using OriginsPoller = sync::StorePoller<sync::OriginsTask<platform::StoreApi>>;
    using QuarantinePoller = sync::StorePoller<sync::QuarantineTask<platform::StoreApi>>;
    using UpstreamListPoller = sync::StorePoller<sync::UpstreamListTask<platform::StoreApi>>;
    m_nodesPoller = std::make_unique<NodesPoller>("nodes", m_nodesTask, nodesPollSchedule(), m_role);
    m_readinessServer = std::make_unique<http::BlockingServer<gateway::ReadinessHandler>>(m_readiness, settings.readinessAddress, http::adminLimits);
    if (!m_readinessServer->isListening())
        return listenError(settings.readinessAddress);
    m_adminServer = std::make_unique<http::BlockingServer<gateway::AdminHandler>>(m_admin, settings.adminAddress, http::adminLimits);
    if (!m_adminServer->isListening())
        return listenError(settings.adminAddress);
    // Clients that connect early wait in the listener's backlog until the node has the manifest and the upstreams.
    auto listener = gateway::listenOn(settings.clientAddress);
    if (!listener.isOpen())
        return listenError(settings.clientAddress);
    awaitStateFromPeers();
    m_manifestPoller = std::make_unique<ManifestPoller>("manifest", m_manifestTask, manifestPollSchedule(settings), m_role);
    m_upstreamListPoller = std::make_unique<UpstreamListPoller>("fleet", m_upstreamListTask, fleetPollSchedule(settings), m_role);
    m_originsPoller = std::make_unique<OriginsPoller>("origins", m_originsTask, originsPollSchedule(), m_role);
    m_quarantinePoller = std::make_unique<QuarantinePoller>("quarantine", m_quarantineTask, quarantinePollSchedule(), m_role);
    awaitInitialState();
    m_acceptor = std::make_unique<gateway::Acceptor<WorkerPool>>(std::move(listener), m_workers);
    return {};
}

template<typename Predicate>
static void waitUntil(base::Duration timeout, Predicate&& predicate)
{
    static constexpr base::Duration checkInterval = std::chrono::milliseconds(10);
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    auto began = base::BootClock {}.now();
    while (!predicate() && base::BootClock {}.now() - began < timeout)
        condition.waitFor(mutex, checkInterval);
}

void GatewayProcess::awaitStateFromPeers()
{
    // Covers listing the nodes and a query to the hub with its response, and leaves room for one lost message.
    static constexpr base::Duration timeout = std::chrono::milliseconds(300);
    waitUntil(timeout, [&] {
        bool isFirstToAskStore = m_nodesTask.hasListed() && m_peerSync.isFirstKnownNode();
        return isFirstToAskStore || (hasInitialState() && !m_role.isLeader());
    });
}

void GatewayProcess::awaitInitialState()
{
    // Clients wait one second for a connection, and part of that time has passed by now.
    static constexpr base::Duration timeout = std::chrono::milliseconds(500);
    waitUntil(timeout, [&] { return hasInitialState(); });
}

bool GatewayProcess::drain()
{
    gateway::StopTimes times;
    times.grace = m_state.settings.terminationGrace;
    return gateway::GracefulStop(m_state, *m_acceptor, times).run();
}

} // namespace redwingseam
