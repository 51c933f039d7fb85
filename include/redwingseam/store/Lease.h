#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::store {

// Exclusive right of one VM to act for a subject. The holder renews it by a conditional update. Another VM
// may take it over after it has seen the same version for the whole `durationMs` (in milliseconds), so
// clocks of different VMs are never compared. Only the format exists: no component acquires a lease yet.
struct Lease {
    base::VmName holder;
    uint64_t holderIncarnation = 0;
    // Increases with each new holder; commands carry it as their fencing token.
    uint64_t fencingToken = 0;
    // Increases with each renewal, so that other VMs see that the holder is alive.
    uint64_t renewals = 0;
    uint64_t durationMs = 0;

    bool operator==(const Lease&) const = default;
};

} // namespace redwingseam::store
