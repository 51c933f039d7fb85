#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/ResultCode.h"

#include <optional>
#include <string>

namespace redwingseam::gateway {

// An answer of the node itself, in place of an upstream's.
struct LocalResponse {
    unsigned status = 503;
    base::ResultCode code = base::ResultCode::Ok;
    // When the client should come back.
    std::optional<base::Duration> retryAfter;
    bool keepsAlive = true;
};

// The whole answer as it is sent.
std::string serializeLocalResponse(const LocalResponse&);

} // namespace redwingseam::gateway
