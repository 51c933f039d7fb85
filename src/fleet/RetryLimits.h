#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::fleet {

// Limits on the retries that all nodes together send to a service, from the deployment's settings.
struct RetryLimits {
    // Retries per request in the same window.
    double ratio = 0.8;
    // Additional retries per window, shared by all nodes. Each node gets the quotient without its remainder, which is 0
    // if there are more nodes than additional retries.
    uint32_t slack = 4;
    // Cut to whole seconds and to at most 15 s.
    base::Duration window = std::chrono::seconds(10);
};

} // namespace redwingseam::fleet
