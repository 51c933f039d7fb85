#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Counts the crashes of upstreams under one request.
struct CrashHistory {
    unsigned crashes = 0;
    base::Instant lastCrashAt {};
};

} // namespace redwingseam::forward
