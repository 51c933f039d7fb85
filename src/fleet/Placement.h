#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <cstdint>
#include <optional>

namespace redwingseam::fleet {

// The upstream that runs a request, and the one that keeps a backup of its KV cache.
struct Placement {
    UpstreamInstance target;
    std::optional<UpstreamInstance> backup;
    uint64_t promptTokens = 0;
    uint64_t kvTokens = 0;
    // Whether the prompt still counts towards the pending prefill of `target`.
    bool isPrefillPending = false;
};

} // namespace redwingseam::fleet
