#include "report/RequestTimeline.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace redwingseam::report {

// An event of an upstream or a dependency is relevant up to this long before and after an event of the request.
static constexpr uint64_t contextWindowMs = 10'000;

static bool isContext(const LogEvent& event)
{
    return !event.dependency.empty() || event.event.starts_with("upstream_") || event.event == "request_harmful" || event.event == "draining";
}

void RequestTimeline::read(std::string_view line, const std::string& source)
{
    auto event = parseLogEvent(line, source);
    if (!event)
        return;
    if (event->request == m_request)
        m_requestEvents.push_back(std::move(*event));
    else if (isContext(*event))
        m_contextEvents.push_back(std::move(*event));
}

const LogEvent* RequestTimeline::findEvent(std::string_view event) const
{
    auto found = std::find_if(m_requestEvents.begin(), m_requestEvents.end(), [&](const LogEvent& requestEvent) { return requestEvent.event == event; });
    return found == m_requestEvents.end() ? nullptr : &*found;
}

bool RequestTimeline::isRelevant(const LogEvent& context) const
{
    return std::any_of(m_requestEvents.begin(), m_requestEvents.end(), [&](const LogEvent& requestEvent) {
        bool isNear = context.timeMs + contextWindowMs >= requestEvent.timeMs && requestEvent.timeMs + contextWindowMs >= context.timeMs;
        bool concernsUpstream = !context.upstream.empty() && (requestEvent.upstream == context.upstream || requestEvent.backupUpstream == context.upstream);
        bool concernsNode = context.upstream.empty() && requestEvent.source == context.source;
        return isNear && (concernsUpstream || concernsNode);
    });
}

std::vector<LogEvent> RequestTimeline::orderedEvents() const
{
    auto events = m_requestEvents;
    std::copy_if(m_contextEvents.begin(), m_contextEvents.end(), std::back_inserter(events), [&](const LogEvent& context) { return isRelevant(context); });
    std::stable_sort(events.begin(), events.end(), [](const LogEvent& one, const LogEvent& other) { return one.timeMs < other.timeMs; });
    return events;
}

static std::string formatMillis(const std::optional<uint64_t>& value)
{
    return value ? std::to_string(*value) + " ms" : std::string("an unknown time");
}

static std::string describeAttempt(const LogEvent& event)
{
    std::string text = "attempt at " + event.upstream + " ended: " + event.outcome;
    if (event.status)
        text += ", status " + std::to_string(*event.status);
    if (!event.connection.empty())
        text += ", on a " + event.connection + " connection";
    if (event.usesKvCopy)
        text += ", from the KV cache copy";
    if (event.lastEventId)
        text += ", last event " + std::to_string(*event.lastEventId);
    return text;
}

static std::string describe(const LogEvent& event)
{
    if (event.event == "request_arrived")
        return "arrived" + (event.route.empty() ? std::string() : " on route " + event.route) + (event.client.empty() ? std::string() : " from " + event.client) + ": " + event.outcome + "; the manifest was confirmed " + formatMillis(event.manifestAgeMs) + " earlier, the upstreams " + formatMillis(event.upstreamsAgeMs) + " earlier";
    if (event.event == "attempt_ended")
        return describeAttempt(event);
    if (event.event == "answered_itself")
        return "the node answered " + (event.status ? std::to_string(*event.status) : std::string()) + " " + event.code;
    if (event.event == "request_ended") {
        std::string text = "ended: " + event.outcome + " after " + formatMillis(event.tookMs);
        if (event.firstEventMs)
            text += ", first event after " + formatMillis(event.firstEventMs) + ", longest gap " + formatMillis(event.longestGapMs);
        return text;
    }
    if (!event.dependency.empty())
        return event.event + " " + event.dependency + (event.detail.empty() ? std::string() : ": " + event.detail);
    return event.event + (event.upstream.empty() ? std::string() : " " + event.upstream);
}

std::string RequestTimeline::describeRefusal(const LogEvent& refusal) const
{
    if (refusal.code == "ManifestStale" || refusal.code == "ManifestUnknown") {
        const auto* arrived = findEvent("request_arrived");
        std::string text = "the node could not confirm the manifest and so could not verify the key";
        if (arrived && arrived->manifestAgeMs)
            text += ": the manifest was last confirmed " + formatMillis(arrived->manifestAgeMs) + " earlier";
        for (const auto& context : m_contextEvents) {
            if (context.event == "dependency_lost" && context.source == refusal.source && context.timeMs <= refusal.timeMs)
                text += "; " + context.dependency + " was lost " + std::to_string(refusal.timeMs - context.timeMs) + " ms earlier (" + context.detail + ")";
        }
        return text;
    }
    if (refusal.code == "OutcomeUnknown")
        return describeLosses() + "; the request may have been executed, so it was not retried";
    if (refusal.code == "HarmfulRequest")
        return "upstreams failed repeatedly while they served the request, so the request is quarantined and no longer sent";
    if (refusal.code == "NoUpstream")
        return "no upstream accepted work";
    if (refusal.code == "Draining")
        return "the node was draining";
    return refusal.code;
}

std::string RequestTimeline::describeLosses() const
{
    std::string text;
    for (const auto& requestEvent : m_requestEvents) {
        if (requestEvent.event != "attempt_ended" || requestEvent.outcome == "answered" || requestEvent.outcome == "answered-rejection")
            continue;
        text += (text.empty() ? "" : "; ") + requestEvent.upstream + " " + requestEvent.outcome;
        for (const auto& context : m_contextEvents) {
            bool hasLeft = context.upstream == requestEvent.upstream && (context.event == "upstream_unlisted" || context.event == "upstream_draining");
            if (hasLeft && isRelevant(context))
                text += " (" + context.event + " " + (context.timeMs >= requestEvent.timeMs ? std::to_string(context.timeMs - requestEvent.timeMs) + " ms later" : std::to_string(requestEvent.timeMs - context.timeMs) + " ms earlier") + ")";
        }
    }
    return text;
}

std::string RequestTimeline::describeCause() const
{
    if (m_requestEvents.empty())
        return "no log line names request " + m_request;
    if (const auto* refusal = findEvent("answered_itself"))
        return describeRefusal(*refusal);
    const auto* end = findEvent("request_ended");
    auto losses = describeLosses();
    if (end && end->outcome == "answered")
        return losses.empty() ? "answered" : "answered despite losses: " + losses;
    if (!end)
        return losses.empty() ? "no log line records the end of the request; the node may have crashed" : "no log line records the end of the request; " + losses;
    return end->outcome + (losses.empty() ? std::string() : ": " + losses);
}

std::string RequestTimeline::text() const
{
    std::string text;
    for (const auto& event : orderedEvents())
        text += std::to_string(event.timeMs) + " " + event.source + ": " + describe(event) + "\n";
    return text + "cause: " + describeCause() + "\n";
}

std::string RequestTimeline::json() const
{
    auto lines = nlohmann::json::array();
    for (const auto& event : orderedEvents())
        lines.push_back({ { "time_ms", event.timeMs }, { "source", event.source }, { "event", event.event }, { "text", describe(event) } });
    return nlohmann::json { { "request", m_request }, { "lines", std::move(lines) }, { "cause", describeCause() } }.dump() + "\n";
}

} // namespace redwingseam::report
