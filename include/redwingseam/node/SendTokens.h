#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/stream/ResumePoint.h"
#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <vector>

namespace redwingseam::node {

// Tokens for the caller, in order and each once. `resumePoint` is where the caller stands after them.
struct SendTokens {
    base::RequestId request;
    uint32_t firstIndex = 0;
    std::vector<stream::Token> tokens;
    stream::ResumePoint resumePoint;
};

} // namespace redwingseam::node
