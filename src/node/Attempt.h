#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::node {

// One attempt under way.
struct Attempt {
    base::AttemptNumber number;
    base::UpstreamName upstream;
    base::Instant startedAt;
    base::Instant lastTokenAt;
    // Tokens that were accepted before this attempt began.
    uint32_t firstIndex = 0;
    bool hasToken = false;
};

} // namespace redwingseam::node
