#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/node/Effect.h"

#include <random>

namespace redwingseam::node {

// State of one call into the node: the time, a random generator and the effects collected so far. The
// effects are carried out after the call has released all locks.
struct CallContext {
    base::Instant now;
    std::minstd_rand random;
    EffectList effects;

    void emit(Effect effect) { effects.push_back(std::move(effect)); }
};

} // namespace redwingseam::node
