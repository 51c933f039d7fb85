#include "gateway/GatewayMetrics.h"

#include <algorithm>
#include <cmath>
#include <pthread.h>

namespace redwingseam::gateway {

template<typename Enum>
static size_t indexOf(Enum value)
{
    return static_cast<size_t>(value);
}

GatewayMetrics::Histogram GatewayMetrics::makeHistogram()
{
    static constexpr unsigned bins = 68;
    static constexpr double minMs = 0.5;
    static constexpr double maxMs = 65536;
    return boost::histogram::make_histogram_with(boost::histogram::dense_storage<uint64_t>(), Axis(bins, minMs, maxMs));
}

void GatewayMetrics::countOutcome(manifest::RouteKind kind, SessionOutcome outcome)
{
    ++m_outcomes[indexOf(kind)][indexOf(outcome)];
}

void GatewayMetrics::countAttempt(forward::AttemptOutcome outcome)
{
    ++m_attempts[indexOf(outcome)];
}

void GatewayMetrics::countProbe(bool isReachable)
{
    ++m_probes[isReachable];
}

void GatewayMetrics::countRejection(base::ResultCode code)
{
    const auto& entries = base::EnumNames<base::ResultCode>::entries;
    auto found = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) { return entry.first == code; });
    if (found != entries.end())
        ++m_rejections[static_cast<size_t>(found - entries.begin())];
}

void GatewayMetrics::countConnection(bool isNew)
{
    ++m_connections[isNew];
}

void GatewayMetrics::countStoreCall(bool isAnswered)
{
    ++m_storeCalls[isAnswered];
}

void GatewayMetrics::record(LatencyKind kind, base::Duration duration)
{
    auto millis = std::chrono::duration<double, std::milli>(duration).count();
    // A thread id is an address in the mapping of the thread's stack. Mappings are aligned to pages of 4096 bytes, so the
    // low bits hardly differ between threads.
    auto shard = static_cast<uint64_t>(pthread_self()) / 4096;
    m_histograms.with(shard, [&](Histograms& histograms) { histograms.byKind[indexOf(kind)](millis); });
}

static void appendSample(std::string& text, std::string_view name, std::string_view labels, uint64_t value)
{
    text.append(name).append("{").append(labels).append("} ").append(std::to_string(value)).append("\n");
}

template<typename Enum>
static std::string label(std::string_view key, Enum value)
{
    return std::string(key).append("=\"").append(base::nameOf(value)).append("\"");
}

void GatewayMetrics::appendHistogram(std::string& text, LatencyKind kind)
{
    auto sum = makeHistogram();
    m_histograms.forEach([&](Histograms& histograms) { sum += histograms.byKind[indexOf(kind)]; });
    auto name = "redwingseam_" + std::string(base::nameOf(kind)) + "_milliseconds";
    text += "# TYPE " + name + " histogram\n";
    uint64_t total = 0;
    for (auto&& cell : boost::histogram::indexed(sum, boost::histogram::coverage::all)) {
        total += *cell;
        bool isShown = *cell && std::isfinite(cell.bin(0).upper());
        if (isShown)
            appendSample(text, name + "_bucket", "le=\"" + std::to_string(cell.bin(0).upper()) + "\"", total);
    }
    appendSample(text, name + "_bucket", "le=\"+Inf\"", total);
    appendSample(text, name + "_count", "", total);
}

std::string GatewayMetrics::text()
{
    std::string text = "# TYPE redwingseam_requests_total counter\n";
    for (const auto& [kind, kindName] : base::EnumNames<manifest::RouteKind>::entries) {
        for (const auto& [outcome, outcomeName] : base::EnumNames<SessionOutcome>::entries)
            appendSample(text, "redwingseam_requests_total", label("kind", kind) + "," + label("end", outcome), m_outcomes[indexOf(kind)][indexOf(outcome)]);
    }
    text += "# TYPE redwingseam_attempts_total counter\n";
    for (const auto& [outcome, name] : base::EnumNames<forward::AttemptOutcome>::entries)
        appendSample(text, "redwingseam_attempts_total", label("outcome", outcome), m_attempts[indexOf(outcome)]);
    text += "# TYPE redwingseam_rejections_total counter\n";
    for (size_t i = 0; i < m_rejections.size(); ++i) {
        if (auto count = m_rejections[i].load())
            appendSample(text, "redwingseam_rejections_total", label("code", base::EnumNames<base::ResultCode>::entries[i].first), count);
    }
    text += "# TYPE redwingseam_probes_total counter\n";
    appendSample(text, "redwingseam_probes_total", "reachable=\"no\"", m_probes[0]);
    appendSample(text, "redwingseam_probes_total", "reachable=\"yes\"", m_probes[1]);
    text += "# TYPE redwingseam_upstream_connections_total counter\n";
    appendSample(text, "redwingseam_upstream_connections_total", "new=\"no\"", m_connections[0]);
    appendSample(text, "redwingseam_upstream_connections_total", "new=\"yes\"", m_connections[1]);
    text += "# TYPE redwingseam_store_calls_total counter\n";
    appendSample(text, "redwingseam_store_calls_total", "answered=\"no\"", m_storeCalls[0]);
    appendSample(text, "redwingseam_store_calls_total", "answered=\"yes\"", m_storeCalls[1]);
    for (const auto& [kind, name] : base::EnumNames<LatencyKind>::entries)
        appendHistogram(text, kind);
    return text;
}

} // namespace redwingseam::gateway
