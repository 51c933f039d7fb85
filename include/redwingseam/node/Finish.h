#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/ServiceResponse.h"

#include <cstdint>

namespace redwingseam::node {

// Ends a request whose answer is complete.
struct Finish {
    base::RequestId request;
    uint32_t totalTokens = 0;
    // Attempts that were lost and resumed before the answer was complete.
    uint32_t resumes = 0;
    // Service call: status and body. Empty for a generation.
    claim::ServiceResponse answer;
};

} // namespace redwingseam::node
