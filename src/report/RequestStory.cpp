#include "report/RequestStory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace redwingseam::report {

// How long before and after its request a line on an upstream or a dependency still matters.
static constexpr uint64_t contextMs = 10'000;

static bool isContext(const LogEvent& event)
{
    return !event.dependency.empty() || event.event.starts_with("upstream_") || event.event == "request_harmful" || event.event == "draining";
}

void RequestStory::read(std::string_view line, const std::string& source)
{
    auto event = parseLogEvent(line, source);
    if (!event)
        return;
    if (event->request == m_request)
        m_own.push_back(std::move(*event));
    else if (isContext(*event))
        m_context.push_back(std::move(*event));
}

const LogEvent* RequestStory::find(std::string_view event) const
{
    auto found = std::find_if(m_own.begin(), m_own.end(), [&](const LogEvent& own) { return own.event == event; });
    return found == m_own.end() ? nullptr : &*found;
}

bool RequestStory::isAbout(const LogEvent& context) const
{
    return std::any_of(m_own.begin(), m_own.end(), [&](const LogEvent& own) {
        bool isNear = context.timeMs + contextMs >= own.timeMs && own.timeMs + contextMs >= context.timeMs;
        bool isOfUpstream = !context.upstream.empty() && (own.upstream == context.upstream || own.backup == context.upstream);
        bool isOfNode = context.upstream.empty() && own.source == context.source;
        return isNear && (isOfUpstream || isOfNode);
    });
}

std::vector<LogEvent> RequestStory::told() const
{
    auto events = m_own;
    std::copy_if(m_context.begin(), m_context.end(), std::back_inserter(events), [&](const LogEvent& context) { return isAbout(context); });
    std::stable_sort(events.begin(), events.end(), [](const LogEvent& one, const LogEvent& other) { return one.timeMs < other.timeMs; });
    return events;
}

static std::string millis(const std::optional<uint64_t>& value)
{
    return value ? std::to_string(*value) + " ms" : std::string("an unknown time");
}

static std::string sentenceOnAttempt(const LogEvent& event)
{
    std::string text = "attempt at " + event.upstream + " ended: " + event.outcome;
    if (event.status)
        text += ", status " + std::to_string(*event.status);
    if (!event.connection.empty())
        text += ", on a " + event.connection + " connection";
    if (event.isFromCopy)
        text += ", from the copy of the run's memory";
    if (event.lastEvent)
        text += ", last event " + std::to_string(*event.lastEvent);
    return text;
}

static std::string sentence(const LogEvent& event)
{
    if (event.event == "request_arrived")
        return "arrived" + (event.route.empty() ? std::string() : " on route " + event.route) + (event.client.empty() ? std::string() : " of " + event.client) + ": " + event.outcome + "; the manifest was confirmed " + millis(event.manifestAgeMs) + " before, the upstreams " + millis(event.upstreamsAgeMs);
    if (event.event == "attempt_ended")
        return sentenceOnAttempt(event);
    if (event.event == "answered_itself")
        return "the node answered " + (event.status ? std::to_string(*event.status) : std::string()) + " " + event.code;
    if (event.event == "request_ended") {
        std::string text = "ended: " + event.outcome + " after " + millis(event.tookMs);
        if (event.firstEventMs)
            text += ", first event after " + millis(event.firstEventMs) + ", longest gap " + millis(event.longestGapMs);
        return text;
    }
    if (!event.dependency.empty())
        return event.event + " " + event.dependency + (event.detail.empty() ? std::string() : ": " + event.detail);
    return event.event + (event.upstream.empty() ? std::string() : " " + event.upstream);
}

std::string RequestStory::causeOfRefusal(const LogEvent& refusal) const
{
    if (refusal.code == "ManifestStale" || refusal.code == "ManifestUnknown") {
        const auto* arrived = find("request_arrived");
        std::string text = "the node could not confirm the manifest, and so the key";
        if (arrived && arrived->manifestAgeMs)
            text += ": it was last confirmed " + millis(arrived->manifestAgeMs) + " before";
        for (const auto& context : m_context) {
            if (context.event == "dependency_lost" && context.source == refusal.source && context.timeMs <= refusal.timeMs)
                text += "; " + context.dependency + " was lost " + std::to_string(refusal.timeMs - context.timeMs) + " ms before (" + context.detail + ")";
        }
        return text;
    }
    if (refusal.code == "OutcomeUnknown")
        return causeOfLoss() + "; it may have run, so it was not sent again";
    if (refusal.code == "HarmfulRequest")
        return "upstreams broke under it again and again; it is not sent any more";
    if (refusal.code == "NoUpstream")
        return "no upstream took work";
    if (refusal.code == "Draining")
        return "the node was stopping";
    return refusal.code;
}

std::string RequestStory::causeOfLoss() const
{
    std::string text;
    for (const auto& own : m_own) {
        if (own.event != "attempt_ended" || own.outcome == "answered")
            continue;
        text += (text.empty() ? "" : "; ") + own.upstream + " " + own.outcome;
        for (const auto& context : m_context) {
            bool isGone = context.upstream == own.upstream && (context.event == "upstream_unlisted" || context.event == "upstream_draining");
            if (isGone && isAbout(context))
                text += " (" + context.event + " " + (context.timeMs >= own.timeMs ? std::to_string(context.timeMs - own.timeMs) + " ms after" : std::to_string(own.timeMs - context.timeMs) + " ms before") + ")";
        }
    }
    return text;
}

std::string RequestStory::cause() const
{
    if (m_own.empty())
        return "no line names this request";
    if (const auto* refusal = find("answered_itself"))
        return causeOfRefusal(*refusal);
    const auto* end = find("request_ended");
    auto losses = causeOfLoss();
    if (end && end->outcome == "answered")
        return losses.empty() ? "answered" : "answered in spite of losses: " + losses;
    if (!end)
        return losses.empty() ? "no line tells its end; the node may have died" : "no line tells its end; " + losses;
    return end->outcome + (losses.empty() ? std::string() : ": " + losses);
}

std::string RequestStory::text() const
{
    std::string text;
    for (const auto& event : told())
        text += std::to_string(event.timeMs) + " " + event.source + ": " + sentence(event) + "\n";
    return text + "cause: " + cause() + "\n";
}

std::string RequestStory::json() const
{
    auto lines = nlohmann::json::array();
    for (const auto& event : told())
        lines.push_back({ { "time_ms", event.timeMs }, { "source", event.source }, { "event", event.event }, { "text", sentence(event) } });
    return nlohmann::json { { "request", m_request }, { "lines", std::move(lines) }, { "cause", cause() } }.dump() + "\n";
}

} // namespace redwingseam::report
