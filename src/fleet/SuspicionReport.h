#pragma once

#include "fleet/SuspicionCause.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::fleet {

// A node's word that an upstream seemed to be down.
struct SuspicionReport {
    base::UpstreamName upstream;
    base::ServiceName service;
    SuspicionCause cause = SuspicionCause::Unreachable;
    base::Instant at {};
};

} // namespace redwingseam::fleet
