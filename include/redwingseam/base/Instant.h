#pragma once

#include <chrono>

namespace redwingseam::base {

// Duration in microseconds.
using Duration = std::chrono::microseconds;

// Point in time on a monotonic clock (in tests a virtual one), in microseconds; not comparable across clocks.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace redwingseam::base
