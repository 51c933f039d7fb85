#pragma once

#include "forward/SendOrder.h"
#include "forward/StepKind.h"
#include "redwingseam/base/ResultCode.h"

namespace redwingseam::forward {

// An Exchange's decision.
struct Step {
    StepKind kind = StepKind::Wait;
    // Only for Send.
    SendOrder send {};
    // Only for Refuse, Fail and TimeOut.
    base::ResultCode code = base::ResultCode::Ok;
    // Only for Refuse: when the client should come back.
    base::Duration retryAfter {};
};

} // namespace redwingseam::forward
