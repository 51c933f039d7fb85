#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::node {

// Attempt in flight at an upstream.
struct Attempt {
    base::AttemptNumber number;
    base::UpstreamName upstream;
    base::Instant startedAt;
    base::Instant lastTokenAt;
    // Number of tokens accepted before this attempt began.
    uint32_t firstIndex = 0;
    bool hasToken = false;
};

} // namespace redwingseam::node
