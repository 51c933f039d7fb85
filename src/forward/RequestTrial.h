#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Reports that a node sent a quarantined request, to find out whether it still crashes upstreams.
struct RequestTrial {
    base::Fingerprint fingerprint;
    base::Instant startedAt {};
};

} // namespace redwingseam::forward
