#pragma once

#include "forward/PartVerdict.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::forward {

// What a node knows of one prompt part.
struct PartState {
    // When a request with the part last made progress on any node, if that is known.
    std::optional<base::Instant> lastProgressAt;
    // The latest progress that all nodes have been told of.
    std::optional<base::Instant> reportedProgressAt;
    // Whether there was a crash of a request with the part since.
    bool isPossibleCause = false;
    PartVerdict verdict = PartVerdict::Sound;
    // The next fields are set only for a quarantined part.
    unsigned crashes = 0;
    base::Instant lastCrashAt {};
    // The account whose requests explain all crashes; 0 if those of several crash.
    base::ClientHash soleAccount;
    std::optional<base::Instant> lastTrialAt;
    // Trials since the last crash.
    unsigned trials = 0;
};

} // namespace redwingseam::forward
