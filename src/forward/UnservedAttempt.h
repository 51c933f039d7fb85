#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/fleet/UpstreamInstance.h"

namespace redwingseam::forward {

// An upstream that did not serve the request, because it was not reached, had no room or was silent, and may be asked again.
struct UnservedAttempt {
    fleet::UpstreamInstance upstream;
    // Not before this.
    base::Instant retryAt {};
};

} // namespace redwingseam::forward
