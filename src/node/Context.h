#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/node/Effect.h"

#include <random>

namespace redwingseam::node {

// What one call into the node works with: the time, random numbers, and the effects so far, which are
// emitted when the call has let go of all locks.
struct Context {
    base::Instant now;
    std::minstd_rand random;
    EffectList effects;

    void emit(Effect effect) { effects.push_back(std::move(effect)); }
};

} // namespace redwingseam::node
