#pragma once

#include "redwingseam/base/Ids.h"

namespace redwingseam::origin {

// The service and the software version of the upstream that sent the first event of a stream. The stream goes on only there.
// A plain value.
struct StreamOrigin {
    base::ServiceName service;
    base::SoftwareVersion version;

    auto operator<=>(const StreamOrigin&) const = default;
};

} // namespace redwingseam::origin
