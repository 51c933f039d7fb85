#pragma once

#include <cstdint>

namespace redwingseam::fleet {

// Work that nodes have under way at one upstream.
struct UpstreamLoad {
    uint32_t requests = 0;
    // Prompt tokens of requests that have not delivered their first event.
    uint64_t unreadTokens = 0;
    // Memory that running requests and copies of others' memory take up.
    uint64_t memoryTokens = 0;

    UpstreamLoad& operator+=(const UpstreamLoad& other)
    {
        requests += other.requests;
        unreadTokens += other.unreadTokens;
        memoryTokens += other.memoryTokens;
        return *this;
    }
    bool operator==(const UpstreamLoad&) const = default;
};

} // namespace redwingseam::fleet
