#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/Answer.h"

#include <cstdint>

namespace redwingseam::node {

// The answer is complete.
struct Finish {
    base::RequestId request;
    uint32_t totalTokens = 0;
    // Attempts that it took beyond the first.
    uint32_t resumes = 0;
    // Only for service calls.
    claim::Answer answer;
};

} // namespace redwingseam::node
