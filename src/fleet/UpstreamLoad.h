#pragma once

#include "base/TokenCount.h"

#include <cstdint>

namespace redwingseam::fleet {

// Load that nodes have booked on one upstream.
struct UpstreamLoad {
    uint32_t requests = 0;
    // Prompt tokens of requests that have not delivered their first event.
    base::TokenCount pendingPrefillTokens;
    // Tokens in the KV cache, of running requests and of backups of runs on other upstreams.
    base::TokenCount kvTokens;

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
