#pragma once

#include "base/TokenCount.h"
#include "redwingseam/fleet/UpstreamInstance.h"

#include <optional>

namespace redwingseam::fleet {

// The upstream that runs a request, and the one that keeps a backup of its KV cache.
struct Placement {
    UpstreamInstance target;
    std::optional<UpstreamInstance> backup;
    // Tokens booked as pending prefill of `target`; 0 without an engine.
    base::TokenCount promptTokens;
    // Tokens booked in the KV caches of `target` and of `backup`; 0 without an engine.
    base::TokenCount kvTokens;
    // Whether the prompt still counts towards the pending prefill of `target`.
    bool isPrefillPending = false;
};

} // namespace redwingseam::fleet
