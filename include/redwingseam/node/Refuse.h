#pragma once

#include "redwingseam/base/Error.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/node/RunState.h"

namespace redwingseam::node {

// The request ends without a complete answer.
struct Refuse {
    base::RequestId request;
    base::Error error;
    RunState runState = RunState::NotRun;
    // When the caller may come back; zero where it makes no difference.
    base::Duration retryAfter {};
};

} // namespace redwingseam::node
