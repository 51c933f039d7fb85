#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::node {

// Reports that an upstream did not answer a load probe before the timeout. The upstream gets no new work
// until its next load report.
struct ProbeFailed {
    base::UpstreamName upstream;
};

} // namespace redwingseam::node
