#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// A request that is not sent to upstreams any more, because it has crashed too many of them.
struct QuarantinedRequest {
    base::Fingerprint fingerprint;
    // Time of the last crash that counted.
    base::Instant lastCrashAt {};
};

} // namespace redwingseam::forward
