#pragma once

#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::forward {

// Crashes of upstreams while they ran one request.
struct CrashHistory {
    // Crashes since the request last made progress.
    unsigned crashes = 0;
    base::Instant lastCrashAt {};
    // When the request last made progress on any node, if that is known.
    std::optional<base::Instant> lastProgressAt;
    // Trials of the quarantined request since its last progress.
    unsigned trials = 0;
    std::optional<base::Instant> lastTrialAt;
    // Whether progress has ended a quarantine.
    bool wasQuarantined = false;
};

} // namespace redwingseam::forward
