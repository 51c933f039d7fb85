#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "route/CrashCandidate.h"

#include <map>

namespace redwingseam::route {

// One crash with the requests that were in flight at it, as reported by all nodes so far.
struct CrashRecord {
    std::map<base::Fingerprint, CrashCandidate> candidates;
    base::Instant reportWindowEnd;
    bool isDecided = false;
};

} // namespace redwingseam::route
