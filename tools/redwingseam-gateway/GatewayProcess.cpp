#include "GatewayProcess.h"

#include "base/Condition.h"

namespace redwingseam {

sync::PollSchedule GatewayProcess::manifestSchedule(const gateway::GatewaySettings& settings)
{
    // Two lost calls in a row still leave the manifest confirmed.
    static constexpr int pollsInBound = 4;
    auto bound = settings.manifestBound;
    if (settings.revocationBound != base::Duration {})
        bound = std::min(bound, settings.revocationBound);
    return { bound / pollsInBound, bound / (2 * pollsInBound) };
}

sync::PollSchedule GatewayProcess::fleetSchedule(const gateway::GatewaySettings& settings)
{
    static constexpr int pollsInBound = 5;
    return { settings.drainBound / pollsInBound, settings.drainBound / (2 * pollsInBound) };
}

GatewayProcess::GatewayProcess(const gateway::GatewaySettings& settings)
    : m_state(settings)
    , m_manifestReader(settings.store, storeTimeout)
    , m_fleetReader(settings.store, storeTimeout)
    , m_manifestTask(m_manifestReader, m_state.manifest)
    , m_fleetTask(m_fleetReader, m_state.fleet)
    , m_manifestPoller("manifest", m_manifestTask, manifestSchedule(settings))
    , m_fleetPoller("fleet", m_fleetTask, fleetSchedule(settings))
    , m_readiness(m_state, std::string(platform::path::ready))
    , m_metrics(m_state)
    , m_lanes(m_state)
{
}

static base::Error cannotListen(const http::ListenAddress& address)
{
    return { base::ResultCode::SocketFailure, address.text() + ": cannot listen" };
}

base::Error GatewayProcess::listen()
{
    const auto& settings = m_state.settings;
    m_readinessServer = std::make_unique<http::RequestServer<gateway::ReadinessHandler>>(m_readiness, settings.readiness);
    if (!m_readinessServer->isListening())
        return cannotListen(settings.readiness);
    m_metricsServer = std::make_unique<http::RequestServer<gateway::MetricsHandler>>(m_metrics, settings.metrics);
    if (!m_metricsServer->isListening())
        return cannotListen(settings.metrics);
    auto listener = gateway::listenOn(settings.clients);
    if (!listener.isOpen())
        return cannotListen(settings.clients);
    m_acceptor = std::make_unique<gateway::Acceptor<Lanes>>(std::move(listener), m_lanes);
    return {};
}

bool GatewayProcess::drain()
{
    // The balancer takes a node out after two missed checks, a second apart.
    static constexpr base::Duration shortestDrain = std::chrono::milliseconds(2800);
    static constexpr base::Duration reserve = std::chrono::milliseconds(300);
    static constexpr base::Duration checkInterval = std::chrono::milliseconds(50);
    auto began = base::BootClock {}.now();
    m_state.toldToStopAt = began;
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
