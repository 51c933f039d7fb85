#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Reports that a request made progress, which proves that it did not cause the crashes before.
struct RequestClearance {
    base::Fingerprint fingerprint;
    base::Instant progressAt {};
};

} // namespace redwingseam::forward
