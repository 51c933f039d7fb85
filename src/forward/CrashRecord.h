#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::forward {

// What must outlive a process of the crashes of upstreams during one request.
struct CrashRecord {
    base::Fingerprint fingerprint;
    // Crashes since the request last made progress.
    unsigned crashes = 0;
    base::Instant lastCrashAt {};
    // Trials since the request was quarantined.
    unsigned trials = 0;
    std::optional<base::Instant> lastTrialAt;
};

} // namespace redwingseam::forward
