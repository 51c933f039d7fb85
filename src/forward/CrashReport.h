#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Reports that the connection to an upstream broke before the request that it ran had produced any output.
struct CrashReport {
    base::Fingerprint fingerprint;
    // When the attempt was sent and when its connection broke.
    base::Instant sentAt {};
    base::Instant lostAt {};
};

} // namespace redwingseam::forward
