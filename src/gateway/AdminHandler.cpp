#include "gateway/AdminHandler.h"

#include "report/ReportCodec.h"

#include <nlohmann/json.hpp>

namespace redwingseam::gateway {

AdminHandler::Response AdminHandler::handle(const http::ServerRequest& request)
{
    if (request.path == "/metrics")
        return { 200, m_state.metrics.text() + quarantineMetric() + bufferMetrics(), "text/plain; version=0.0.4" };
    if (request.path == "/status")
        return { 200, status() };
    if (request.path == "/report")
        return { 200, report::formatVmReport(m_state.recorder.burnRates(base::BootClock {}.now()), m_state.recorder.counters()) };
    return { 404, R"({"error":"unknown path"})" };
}

static uint64_t millisSince(base::Instant at, base::Instant now)
{
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count());
}

std::string AdminHandler::quarantineMetric() const
{
    return "# TYPE redwingseam_quarantined_parts gauge\nredwingseam_quarantined_parts " + std::to_string(m_state.crashes.parts.quarantinedCount()) + "\n";
}

std::string AdminHandler::bufferMetrics() const
{
    std::string text = "# TYPE redwingseam_buffered_bytes gauge\n";
    for (const auto& [use, name] : base::EnumNames<BufferUse>::entries)
        text += "redwingseam_buffered_bytes{use=\"" + std::string(name) + "\"} " + std::to_string(m_state.buffers.usedBytes(use)) + "\n";
    auto limit = m_state.buffers.limitBytes(BufferUse::Response);
    return text + "# TYPE redwingseam_buffer_limit_bytes gauge\nredwingseam_buffer_limit_bytes " + std::to_string(limit) + "\n";
}

std::string AdminHandler::status() const
{
    auto now = base::BootClock {}.now();
    auto manifestState = m_state.manifest.state();
    size_t live = 0;
    auto entries = m_state.fleet.entries();
    for (const auto& entry : entries)
        live += entry.takesWork(now);
    auto degraded = nlohmann::json::array();
    if (!m_state.admission.acceptsKeys(manifestState, now))
        degraded.push_back("manifest");
    if (m_state.fleet.listedAt() == base::Instant {} || now - m_state.fleet.listedAt() > m_state.settings.upstreamRemovalBound)
        degraded.push_back("upstreams");
    auto crowded = nlohmann::json::array();
    for (const auto& service : m_state.fleet.crowdedServices(now))
        crowded.push_back(service.text);
    nlohmann::json document {
        { "vm", m_state.settings.vmName.text },
        { "data_centre", m_state.settings.dataCentre.text },
        { "settings_version", manifestState.index ? manifestState.index->manifest().version : 0 },
        { "requests", m_state.activeSessions.load() },
        { "upstreams_live", live },
        { "upstreams_down", entries.size() - live },
        { "vms_live", m_state.fleet.nodeCount() },
        { "draining", m_state.isDraining() },
        { "degraded", std::move(degraded) },
        { "crowded_services", std::move(crowded) },
        { "quarantined_parts", m_state.crashes.parts.quarantinedCount() },
        { "harmful_requests", m_state.crashes.requests.quarantinedRequests(now).size() },
    };
    if (manifestState.index)
        document["settings_age_ms"] = millisSince(manifestState.confirmedAt, now);
    if (m_state.fleet.listedAt() != base::Instant {})
        document["upstreams_age_ms"] = millisSince(m_state.fleet.listedAt(), now);
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace redwingseam::gateway
