#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Reports that the connection to an upstream was lost while it ran a request, before any event of a stream arrived.
struct CrashReport {
    base::Fingerprint fingerprint;
    // When the attempt was sent and when its connection was lost.
    base::Instant sentAt {};
    base::Instant lostAt {};
};

} // namespace redwingseam::forward
