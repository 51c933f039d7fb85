#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// What is known of a request that upstreams broke under.
struct CrashRecord {
    unsigned crashes = 0;
    base::Instant lastEndedAt {};
};

} // namespace redwingseam::forward
