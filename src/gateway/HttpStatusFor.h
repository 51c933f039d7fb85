#pragma once

#include "redwingseam/base/ResultCode.h"

namespace redwingseam::gateway {

// Returns the HTTP status of a local response to a request that was not admitted or was refused.
constexpr unsigned httpStatusFor(base::ResultCode code)
{
    switch (code) {
    case base::ResultCode::UnknownRoute:
        return 404;
    case base::ResultCode::UnknownClient:
        return 401;
    case base::ResultCode::RequestTooLarge:
        return 413;
    default:
        return 503;
    }
}

} // namespace redwingseam::gateway
