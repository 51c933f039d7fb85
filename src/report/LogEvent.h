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
    // "new" or "kept" (a pooled connection).
    std::string connection;
    // Upstream that keeps the backup of the request's KV cache.
    std::string backupUpstream;
    std::string dependency;
    std::string detail;
    std::string text;
    std::optional<uint64_t> status;
    std::optional<uint64_t> tookMs;
    std::optional<uint64_t> manifestVersion;
    // Time since the manifest was last confirmed.
    std::optional<uint64_t> manifestAgeMs;
    std::optional<uint64_t> upstreamsAgeMs;
    // Id of the last event of the stream that the client (request_arrived) or the gateway (attempt_ended) received.
    std::optional<uint64_t> lastEventId;
    std::optional<uint64_t> firstEventMs;
    std::optional<uint64_t> longestGapMs;
    // Number of attempts that were sent, and of those that may have run.
    std::optional<uint64_t> sends;
    std::optional<uint64_t> runs;
    bool usesKvCopy = false;
};

// Parses one log line. Returns std::nullopt if it is not a JSON object with a time and an event.
std::optional<LogEvent> parseLogEvent(std::string_view line, const std::string& source);

} // namespace redwingseam::report
