#pragma once

#include "redwingseam/membership/FactBody.h"
#include "redwingseam/membership/FactKey.h"

#include <compare>
#include <cstdint>

namespace redwingseam::membership {

// A statement that nodes pass on. Of two facts on one key the greater in (incarnation, sequence, body)
// holds, so merging is commutative, associative and idempotent, and an old fact never comes back.
struct Fact {
    FactKey key;
    // Grows when the subject starts anew.
    uint64_t incarnation = 0;
    // Grows with each statement on the same incarnation.
    uint64_t sequence = 0;
    FactBody body;

    auto operator<=>(const Fact&) const = default;
};

// Whether `candidate` replaces `held`; both are on the same key.
bool overrides(const Fact& candidate, const Fact& held);

} // namespace redwingseam::membership
