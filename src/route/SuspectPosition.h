#pragma once

#include "redwingseam/base/Instant.h"

#include <cstddef>

namespace redwingseam::route {

// A suspect's place among those of its latest death and of deaths shortly before.
struct SuspectPosition {
    size_t index = 0;
    size_t suspectCount = 1;
    // When its latest death is judged.
    base::Instant reportWindowEnd;
};

} // namespace redwingseam::route
