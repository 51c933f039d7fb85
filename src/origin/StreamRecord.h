#pragma once

#include "origin/StreamOrigin.h"

namespace redwingseam::origin {

// Where the stream that a client attempt began. A plain value.
struct StreamRecord {
    base::ClientAttemptId attempt;
    StreamOrigin origin;

    auto operator<=>(const StreamRecord&) const = default;
};

} // namespace redwingseam::origin
