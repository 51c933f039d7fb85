#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <optional>

namespace redwingseam::gateway {

// Values read from the status line and headers of an upstream's response.
struct ResponseMetadata {
    unsigned status = 0;
    // Attempt id that the upstream echoes; empty if it sent none.
    base::ClientAttemptId attempt;
    // The upstream states that it did not run the request.
    bool isNotExecuted = false;
    // Another upstream instance now uses the address (status 421 of an upstream, which names itself or the request, or
    // states that it did not run it).
    bool isMisdirected = false;
    // The response carries the upstream's signature. A success without it is treated as invalid.
    bool isSigned = false;
    // The upstream states that it is leaving and takes no new requests.
    bool isLeaving = false;
    // Time for which the upstream asks for no further requests; empty if it did not state one.
    std::optional<base::Duration> retryAfter;
    // Time for which the upstream keeps an idle connection open; empty if it did not state one.
    std::optional<base::Duration> keepAlive;
};

} // namespace redwingseam::gateway
