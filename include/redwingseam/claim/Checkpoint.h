#pragma once

#include "redwingseam/claim/ClaimRecord.h"

#include <cstdint>
#include <vector>

namespace redwingseam::claim {

// The state of a claim log after its first `nextNumber` objects, so that a node need not read all of them.
struct Checkpoint {
    uint64_t nextNumber = 0;
    // The effective record of each key that is still kept.
    std::vector<ClaimRecord> records;

    bool operator==(const Checkpoint&) const = default;
};

} // namespace redwingseam::claim
