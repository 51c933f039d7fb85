#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::report {

// Parsed line of a node's log, with the fields that explain the course of a request. Absent fields are empty.
struct LogEvent {
    // Name of the node or of its log file.
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
    std::string backupUpstream;
    std::string dependency;
    std::string detail;
    std::string text;
    std::optional<uint64_t> status;
    std::optional<uint64_t> tookMs;
    std::optional<uint64_t> manifestVersion;
    std::optional<uint64_t> manifestAgeMs;
    std::optional<uint64_t> upstreamsAgeMs;
    std::optional<uint64_t> lastEventId;
    std::optional<uint64_t> firstEventMs;
    std::optional<uint64_t> longestGapMs;
    std::optional<uint64_t> sends;
    std::optional<uint64_t> runs;
    bool usesKvCopy = false;
};

// Parses one log line. Returns std::nullopt if it is not a JSON object with a time and an event.
std::optional<LogEvent> parseLogEvent(std::string_view line, const std::string& source);

} // namespace redwingseam::report
