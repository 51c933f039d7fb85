#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::store {

// Right of one VM to act for a subject. It is renewed by a conditional update; a rival that has seen
// the same version for the whole `durationMs` may take it over, so no clocks are compared.
struct Lease {
    base::VmName holder;
    uint64_t holderIncarnation = 0;
    // Grows with each new holder; orders carry it as their fencing number.
    uint64_t fencing = 0;
    // Grows with each renewal, so that watchers see that the holder is alive.
    uint64_t renewals = 0;
    uint64_t durationMs = 0;

    bool operator==(const Lease&) const = default;
};

} // namespace redwingseam::store
