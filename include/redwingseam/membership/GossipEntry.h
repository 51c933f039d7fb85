#pragma once

#include "redwingseam/membership/GossipBody.h"
#include "redwingseam/membership/GossipKey.h"

#include <compare>
#include <cstdint>

namespace redwingseam::membership {

// A versioned value that nodes exchange by gossip. Of two entries for one key, the greater one by
// (incarnation, sequence, body) wins. Merging is therefore commutative, associative and idempotent, and
// an old entry never replaces a newer one.
struct GossipEntry {
    GossipKey key;
    // Increases when the subject restarts.
    uint64_t incarnation = 0;
    // Increases with each update within one incarnation.
    uint64_t sequence = 0;
    GossipBody body;

    auto operator<=>(const GossipEntry&) const = default;
};

// Returns whether `candidate` replaces `held`. Both must have the same key.
bool overrides(const GossipEntry& candidate, const GossipEntry& held);

} // namespace redwingseam::membership
