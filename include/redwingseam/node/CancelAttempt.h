#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::node {

// Cancels an attempt whose result is no longer needed. The node expects no further event for it.
struct CancelAttempt {
    base::RequestId request;
    base::AttemptNumber attempt;
    base::UpstreamName upstream;
};

} // namespace redwingseam::node
