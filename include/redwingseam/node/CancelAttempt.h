#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::node {

// Ends an attempt that is of no more use. No event follows for it.
struct CancelAttempt {
    base::RequestId request;
    base::AttemptNumber attempt;
    base::UpstreamName upstream;
};

} // namespace redwingseam::node
