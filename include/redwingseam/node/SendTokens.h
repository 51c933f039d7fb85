#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/stream/ResumePoint.h"
#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <vector>

namespace redwingseam::node {

// Delivers tokens to the caller, in order and each exactly once. `firstIndex` counts from the beginning
// of the answer. `resumePoint` describes how far the caller has read after these tokens.
struct SendTokens {
    base::RequestId request;
    uint32_t firstIndex = 0;
    std::vector<stream::Token> tokens;
    stream::ResumePoint resumePoint;
};

} // namespace redwingseam::node
