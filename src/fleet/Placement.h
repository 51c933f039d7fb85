#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <cstdint>
#include <optional>

namespace redwingseam::fleet {

// Upstream that a request goes to, and the one that keeps a copy of its memory.
struct Placement {
    UpstreamInstance target;
    std::optional<UpstreamInstance> backup;
    uint64_t promptTokens = 0;
    uint64_t kvTokens = 0;
    // Whether the prompt still counts as unread at `target`.
    bool isPrefillPending = false;
};

} // namespace redwingseam::fleet
