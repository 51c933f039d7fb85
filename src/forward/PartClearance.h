#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::forward {

// Reports that a request with the part made progress, which proves that the part did not cause the crashes before.
struct PartClearance {
    base::PromptPartHash part;
    base::Instant progressAt {};
};

} // namespace redwingseam::forward
