#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::node {

// Reports that the caller closed its connection before the answer was complete. No effect follows for the
// caller; attempts in flight are cancelled, except for a service call whose outcome must be recorded.
struct CallerDisconnected {
    base::RequestId request;
};

} // namespace redwingseam::node
