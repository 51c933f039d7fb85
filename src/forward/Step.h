#pragma once

#include "forward/SendParameters.h"
#include "forward/StepKind.h"
#include "redwingseam/base/ResultCode.h"

namespace redwingseam::forward {

// A decision of an Exchange.
struct Step {
    StepKind kind = StepKind::Wait;
    // Set only for Send.
    SendParameters send {};
    // Set only for Refuse, Fail and TimeOut.
    base::ResultCode code = base::ResultCode::Ok;
    // Set only for Refuse: the delay before the client should retry.
    base::Duration retryAfter {};
};

} // namespace redwingseam::forward
