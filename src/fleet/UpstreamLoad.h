#pragma once

#include <cstdint>

namespace redwingseam::fleet {

// Work that nodes have under way at one upstream.
struct UpstreamLoad {
    uint32_t requests = 0;
    // Prompt tokens of requests that have not delivered their first event.
    uint64_t pendingPrefillTokens = 0;
    // Memory that running requests and copies of others' memory take up.
    uint64_t kvTokens = 0;

    UpstreamLoad& operator+=(const UpstreamLoad& other)
    {
        requests += other.requests;
        pendingPrefillTokens += other.pendingPrefillTokens;
        kvTokens += other.kvTokens;
        return *this;
    }
    bool operator==(const UpstreamLoad&) const = default;
};

} // namespace redwingseam::fleet
