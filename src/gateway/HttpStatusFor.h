#pragma once

#include "redwingseam/base/ResultCode.h"

namespace redwingseam::gateway {

// HTTP status of an answer that the node itself gives instead of sending a request on.
constexpr unsigned httpStatusFor(base::ResultCode code)
{
    switch (code) {
    case base::ResultCode::UnknownRoute:
        return 404;
    case base::ResultCode::UnknownClient:
        return 401;
    default:
        return 503;
    }
}

} // namespace redwingseam::gateway
