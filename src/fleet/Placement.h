#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <cstdint>
#include <optional>

namespace redwingseam::fleet {

// The upstream that runs a request, and the one that keeps a backup of its KV cache.
struct Placement {
    UpstreamInstance target;
    std::optional<UpstreamInstance> backup;
    // Tokens booked as pending prefill of `target`; 0 without an engine.
    uint64_t promptTokens = 0;
    // Tokens booked in the KV caches of `target` and of `backup`; 0 without an engine.
    uint64_t kvTokens = 0;
    // Whether the prompt still counts towards the pending prefill of `target`.
    bool isPrefillPending = false;
};

} // namespace redwingseam::fleet
