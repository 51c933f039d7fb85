#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// What is known of a request that upstreams broke under.
struct CrashHistory {
    unsigned crashes = 0;
    base::Instant lastCrashAt {};
};

} // namespace redwingseam::forward
