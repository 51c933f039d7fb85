#pragma once

#include "redwingseam/claim/ClaimRecord.h"

#include <vector>

namespace redwingseam::claim {

// One object of a claim log: records that take effect in this order.
struct ClaimBatch {
    std::vector<ClaimRecord> records;

    bool operator==(const ClaimBatch&) const = default;
};

} // namespace redwingseam::claim
