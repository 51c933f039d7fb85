#include "report/LogEvent.h"

#include <nlohmann/json.hpp>

namespace redwingseam::report {

using nlohmann::json;

static void read(const json& object, const char* key, std::string& field)
{
    if (auto found = object.find(key); found != object.end() && found->is_string())
        field = found->get<std::string>();
}

static void read(const json& object, const char* key, std::optional<uint64_t>& field)
{
    if (auto found = object.find(key); found != object.end() && found->is_number_unsigned())
        field = found->get<uint64_t>();
}

std::optional<LogEvent> parseLogEvent(std::string_view line, const std::string& source)
{
    auto object = json::parse(line, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    LogEvent event;
    event.source = source;
    event.text = line;
    std::optional<uint64_t> time;
    read(object, "time_ms", time);
    read(object, "event", event.event);
    if (!time || event.event.empty())
        return std::nullopt;
    event.timeMs = *time;
    read(object, "request", event.request);
    read(object, "outcome", event.outcome);
    read(object, "code", event.code);
    read(object, "route", event.route);
    read(object, "client", event.client);
    read(object, "upstream", event.upstream);
    read(object, "connection", event.connection);
    read(object, "backup", event.backupUpstream);
    read(object, "dependency", event.dependency);
    read(object, "detail", event.detail);
    read(object, "status", event.status);
    read(object, "took_ms", event.tookMs);
    read(object, "manifest_version", event.manifestVersion);
    read(object, "manifest_age_ms", event.manifestAgeMs);
    read(object, "upstreams_age_ms", event.upstreamsAgeMs);
    read(object, "last_event", event.lastEventId);
    read(object, "first_event_ms", event.firstEventMs);
    read(object, "longest_gap_ms", event.longestGapMs);
    read(object, "sends", event.sends);
    read(object, "runs", event.runs);
    event.usesKvCopy = object.contains("from_copy");
    return event;
}

} // namespace redwingseam::report
