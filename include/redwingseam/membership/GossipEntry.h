#pragma once

#include "redwingseam/membership/GossipBody.h"
#include "redwingseam/membership/GossipKey.h"

#include <compare>
#include <cstdint>

namespace redwingseam::membership {

// A statement that nodes pass on. Of two facts on one key the greater in (incarnation, sequence, body)
// holds, so merging is commutative, associative and idempotent, and an old fact never comes back.
struct GossipEntry {
    GossipKey key;
    // Grows when the subject starts anew.
    uint64_t incarnation = 0;
    // Grows with each statement on the same incarnation.
    uint64_t sequence = 0;
    GossipBody body;

    auto operator<=>(const GossipEntry&) const = default;
};

// Whether `candidate` replaces `held`; both are on the same key.
bool overrides(const GossipEntry& candidate, const GossipEntry& held);

} // namespace redwingseam::membership
