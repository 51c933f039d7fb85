#pragma once

#include "forward/CrashCause.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// The crashes that are attributed to one cause.
struct CrashBlame {
    CrashCause cause;
    // Independent crashes: upstreams that fail together count once.
    unsigned crashes = 0;
    // Those of them in which no other prompt part can be the cause.
    unsigned unambiguousCrashes = 0;
    // The number of different upstreams that crashed.
    size_t upstreams = 0;
    base::Instant lastCrashAt {};
    // The only account that had a request in each failure; 0 if there is none.
    base::ClientHash soleAccount;
};

} // namespace redwingseam::forward
