#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::node {

// An upstream did not answer a load probe in time. It gets no new work until it reports again.
struct ProbeFailed {
    base::UpstreamName upstream;
};

} // namespace redwingseam::node
