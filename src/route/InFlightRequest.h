#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Rank.h"

namespace redwingseam::route {

// One request that this node has in flight at an upstream.
struct InFlightRequest {
    base::RequestId request;
    base::Rank rank = base::Rank::Standard;
    bool isSuspect = false;
    // Whether the request runs on its rank's capacity floor and is therefore not preempted.
    bool isFloorGrant = false;
    base::Instant startedAt;
};

} // namespace redwingseam::route
