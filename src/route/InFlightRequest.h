#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Rank.h"

namespace redwingseam::route {

// One request that this node runs at an upstream.
struct InFlightRequest {
    base::RequestId request;
    base::Rank rank = base::Rank::Standard;
    bool isSuspect = false;
    // Runs on its rank's floor, so it does not give way.
    bool isFloorGrant = false;
    base::Instant startedAt;
};

} // namespace redwingseam::route
