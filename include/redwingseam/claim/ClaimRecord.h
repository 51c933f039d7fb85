#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/RecordKind.h"
#include "redwingseam/claim/ServiceResponse.h"

#include <cstdint>

namespace redwingseam::claim {

// One entry of a claim log. `holder` is a random number drawn for one request at one node.
struct ClaimRecord {
    RecordKind kind = RecordKind::Claimed;
    base::IdempotencyKey key;
    uint64_t holder = 0;
    // Set only for Finished.
    ServiceResponse response;

    bool operator==(const ClaimRecord&) const = default;
};

} // namespace redwingseam::claim
