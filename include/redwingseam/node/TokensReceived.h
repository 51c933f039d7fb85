#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <vector>

namespace redwingseam::node {

// Reports tokens that an engine sent for one attempt. `firstIndex` counts from the beginning of the answer.
struct TokensReceived {
    base::RequestId request;
    base::AttemptNumber attempt;
    uint32_t firstIndex = 0;
    std::vector<stream::Token> tokens;
};

} // namespace redwingseam::node
