#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::base {

inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace redwingseam::base
