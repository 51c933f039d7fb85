#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

namespace redwingseam::origin {

// A client's request to go on with a stream.
struct TakeUp {
    // The attempt that began the stream; empty if the client doesn't name it.
    base::ClientAttemptId attempt;
    // The service of the request, which is the stream's own unless a record tells otherwise.
    base::ServiceName service;
    // The stream began earlier.
    base::Instant arrivedAt {};
    // The time that the client has left. It had no more than its whole time when the stream began.
    base::Duration timeLeft {};
};

} // namespace redwingseam::origin
