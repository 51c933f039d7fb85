#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/ResultCode.h"

#include <optional>
#include <string>

namespace redwingseam::gateway {

// A response that the gateway generates itself instead of forwarding one from an upstream.
struct LocalResponse {
    unsigned status = 503;
    base::ResultCode code = base::ResultCode::Ok;
    // Value of `Retry-After`: the time after which the client should retry.
    std::optional<base::Duration> retryAfter;
    // How long the client may leave the connection idle before its next request; empty if the connection closes.
    std::optional<base::Duration> idleTimeout {};
    // The answer to HEAD states the length of the body and leaves it out.
    bool isHeadRequest = false;
};

// Returns the complete response, with its body unless it answers HEAD, as sent to the client.
std::string serializeLocalResponse(const LocalResponse&);

} // namespace redwingseam::gateway
