#pragma once

#include <chrono>

namespace redwingseam::base {

// Length of time in microseconds.
using Duration = std::chrono::microseconds;

// Point on a monotonic time line in microseconds. Under test the line is virtual.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace redwingseam::base
