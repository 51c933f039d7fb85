#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::forward {

// A request that is sent to upstreams only in rare trials, because it has crashed too many of them.
struct QuarantinedRequest {
    base::Fingerprint fingerprint;
    // Time of the last crash that counted.
    base::Instant lastCrashAt {};
    // Trials since the request was quarantined.
    unsigned trials = 0;
    std::optional<base::Instant> lastTrialAt;
};

} // namespace redwingseam::forward
