#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Reports that a node sent a request with a quarantined part, to find out whether it still crashes upstreams.
struct PartTrial {
    base::PromptPartHash part;
    base::Instant startedAt {};
};

} // namespace redwingseam::forward
