#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// An upstream's connection broke before the request that it ran had brought anything.
struct CrashReport {
    base::Fingerprint fingerprint;
    base::Instant sentAt {};
    base::Instant endedAt {};
};

} // namespace redwingseam::forward
