#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::route {

// A request that was in flight at an upstream when it died.
struct InterruptedRequest {
    base::Fingerprint fingerprint;
    // Whether this attempt had brought the answer further than the attempt before it.
    bool madeProgress = false;
    // Whether any attempt at it has ever brought a token.
    bool hasTokens = false;
};

} // namespace redwingseam::route
