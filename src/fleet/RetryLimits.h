#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::fleet {

// Limits on the retries that all nodes together send to a service, from the deployment's settings.
struct RetryLimits {
    // Retries per request in the same window.
    double ratio = 0.8;
    // Additional retries per window, shared equally by all nodes. A node's share may be a fraction, which adds to that of
    // its requests.
    double slack = 4;
    // Cut to whole seconds and to at most 15 s.
    base::Duration window = std::chrono::seconds(10);
};

} // namespace redwingseam::fleet
