#pragma once

#include "redwingseam/base/Error.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/node/RunState.h"

namespace redwingseam::node {

// Ends a request without a complete answer.
struct Refuse {
    base::RequestId request;
    base::Error error;
    RunState runState = RunState::NotRun;
    // Time after which the caller may retry. Zero if waiting would not help.
    base::Duration retryAfter {};
};

} // namespace redwingseam::node
