#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::fleet {

// How many retries all nodes may send to a service, from the deployment's settings.
struct RetryLimits {
    // Retries for each request of the same window.
    double ratio = 0.8;
    // Retries allowed on top in a window, for all nodes together.
    uint32_t slack = 4;
    base::Duration window = std::chrono::seconds(10);
};

} // namespace redwingseam::fleet
