#pragma once

#include "fleet/SuspicionCause.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::fleet {

// A node's report that an upstream appears to be down, sent to the other nodes through the hubs.
struct SuspicionReport {
    base::UpstreamName upstream;
    base::ServiceName service;
    SuspicionCause cause = SuspicionCause::Unreachable;
    base::Instant detectedAt {};
    // Incarnation of the upstream as the reporting node knew it; 0 if unknown.
    uint64_t incarnation = 0;
};

} // namespace redwingseam::fleet
