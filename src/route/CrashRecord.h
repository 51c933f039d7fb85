#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "route/CrashCandidate.h"

#include <map>

namespace redwingseam::route {

// What is known of one death: the requests in flight at it, over all nodes.
struct CrashRecord {
    std::map<base::Fingerprint, CrashCandidate> candidates;
    base::Instant reportWindowEnd;
    bool isDecided = false;
};

} // namespace redwingseam::route
