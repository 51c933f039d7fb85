#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Crashes of upstreams while they ran one request.
struct CrashHistory {
    unsigned crashes = 0;
    base::Instant lastCrashAt {};
};

} // namespace redwingseam::forward
