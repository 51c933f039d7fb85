#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/Answer.h"
#include "redwingseam/node/AttemptEnd.h"

#include <cstdint>

namespace redwingseam::node {

// An attempt is over.
struct AttemptEnded {
    base::RequestId request;
    base::AttemptNumber attempt;
    AttemptEnd end = AttemptEnd::Lost;
    // Complete generation: number of tokens in the whole answer.
    uint32_t totalTokens = 0;
    // Complete service call.
    claim::Answer answer;
};

} // namespace redwingseam::node
