#include "daemon/AdminHandler.h"

#include "daemon/MetricsText.h"
#include "daemon/StatusCodec.h"
#include "report/ReportCodec.h"

namespace redwingseam::daemon {

AdminHandler::Response AdminHandler::handle(const http::ServerRequest& request)
{
    if (request.method != "GET")
        return { 405, R"({"error":"only GET"})" };
    if (request.path == "/healthz")
        return { 200, R"({"healthy":true})" };
    if (request.path == "/readyz")
        return readiness();
    if (request.path == "/status")
        return { 200, formatStatus(m_node.node().status()) };
    if (request.path == "/report")
        return { 200, report::formatVmReport(m_node.node().burn(), m_node.node().counters()) };
    if (request.path == "/metrics")
        return metrics();
    return { 404, R"({"error":"unknown path"})" };
}

AdminHandler::Response AdminHandler::readiness()
{
    auto status = m_node.node().status();
    // A VM that has just started and knows no upstream would refuse every request.
    bool isReady = !status.isDraining && status.upstreamsLive + status.upstreamsDown > 0;
    return { isReady ? 200U : 503U, isReady ? R"({"ready":true})" : R"({"ready":false})" };
}

AdminHandler::Response AdminHandler::metrics()
{
    MetricsText text;
    auto status = m_node.node().status();
    auto counters = m_node.node().counters();
    for (const auto& [rank, name] : base::EnumNames<base::Rank>::entries) {
        auto index = base::indexOf(rank);
        text.counter("redwingseam_requests_total", "rank", name, counters.requests[index]);
        text.counter("redwingseam_finished_total", "rank", name, counters.finished[index]);
        text.counter("redwingseam_refused_total", "rank", name, counters.refused[index]);
        for (const auto& [objective, objectiveName] : base::EnumNames<report::Objective>::entries) {
            if (objective != report::Objective::CompleteAnswer)
                text.histogram("redwingseam_" + std::string(objectiveName) + "_milliseconds", name, m_node.node().latency(rank, objective));
        }
    }
    text.counter("redwingseam_preemptions_total", counters.preemptions);
    text.counter("redwingseam_suspicions_total", counters.suspicions);
    text.counter("redwingseam_upstream_losses_total", counters.upstreamLosses);
    text.counter("redwingseam_peer_messages_sent_total", m_io.peerClient.messagesQueued());
    text.counter("redwingseam_peer_bytes_sent_total", m_io.peerClient.bytesQueued());
    text.gauge("redwingseam_requests", status.requests);
    text.gauge("redwingseam_queued", status.queued);
    text.gauge("redwingseam_upstreams_live", status.upstreamsLive);
    text.gauge("redwingseam_upstreams_down", status.upstreamsDown);
    text.gauge("redwingseam_vms_live", status.vmsLive);
    text.gauge("redwingseam_settings_version", status.settingsVersion.value);
    text.gauge("redwingseam_platform_reachable", status.isPlatformReachable ? 1 : 0);
    return { 200, text.text(), "text/plain; version=0.0.4" };
}

} // namespace redwingseam::daemon
