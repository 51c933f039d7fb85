#pragma once

#include "redwingseam/base/Instant.h"

#include <cstddef>

namespace redwingseam::route {

// A suspect's place among those of its latest death and of deaths shortly before.
struct SuspectPlace {
    size_t rank = 0;
    size_t suspects = 1;
    // When its latest death is judged.
    base::Instant hearingEnd;
};

} // namespace redwingseam::route
