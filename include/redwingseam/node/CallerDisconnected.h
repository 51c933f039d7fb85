#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::node {

// The caller closed its connection before the answer was complete.
struct CallerDisconnected {
    base::RequestId request;
};

} // namespace redwingseam::node
