#pragma once

#include "redwingseam/base/Instant.h"

#include <cstddef>

namespace redwingseam::route {

// The position of a suspect among the candidates of its latest crash and of the other crashes that count as
// concurrent with it, see CrashAttribution::position().
struct SuspectPosition {
    size_t index = 0;
    // Includes candidates that have been cleared since.
    size_t candidateCount = 1;
    // End of the report window of the latest crash.
    base::Instant reportWindowEnd;
};

} // namespace redwingseam::route
