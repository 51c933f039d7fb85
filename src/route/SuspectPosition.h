#pragma once

#include "redwingseam/base/Instant.h"

#include <cstddef>

namespace redwingseam::route {

// The position of a suspect among the suspects of its latest crash and of crashes from shortly before it
// onwards.
struct SuspectPosition {
    size_t index = 0;
    size_t candidateCount = 1;
    // End of the report window of the latest crash.
    base::Instant reportWindowEnd;
};

} // namespace redwingseam::route
