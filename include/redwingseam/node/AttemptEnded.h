#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/ServiceResponse.h"
#include "redwingseam/node/AttemptEnd.h"

#include <cstdint>

namespace redwingseam::node {

// Reports the end of an attempt. `totalTokens` and `answer` are set only if `end` is Complete.
struct AttemptEnded {
    base::RequestId request;
    base::AttemptNumber attempt;
    AttemptEnd end = AttemptEnd::Lost;
    // Generation: number of tokens in the whole answer, including those of earlier attempts.
    uint32_t totalTokens = 0;
    // Service call: status and body that the service returned.
    claim::ServiceResponse answer;
};

} // namespace redwingseam::node
