#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::report {

// A line of a node's log, as far as it says what became of a request. What a line does not have is empty.
struct LogEvent {
    // Node, or the file that its log is in.
    std::string source;
    uint64_t timeMs = 0;
    std::string event;
    std::string request;
    std::string outcome;
    std::string code;
    std::string route;
    std::string client;
    std::string upstream;
    std::string connection;
    std::string backup;
    std::string dependency;
    std::string detail;
    std::string text;
    std::optional<uint64_t> status;
    std::optional<uint64_t> tookMs;
    std::optional<uint64_t> manifestVersion;
    std::optional<uint64_t> manifestAgeMs;
    std::optional<uint64_t> upstreamsAgeMs;
    std::optional<uint64_t> lastEvent;
    std::optional<uint64_t> firstEventMs;
    std::optional<uint64_t> longestGapMs;
    std::optional<uint64_t> sends;
    std::optional<uint64_t> runs;
    bool usesKvCopy = false;
};

// Nothing for a line that is no JSON object with a time and an event.
std::optional<LogEvent> parseLogEvent(std::string_view line, const std::string& source);

} // namespace redwingseam::report
