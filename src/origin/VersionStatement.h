#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>

namespace redwingseam::origin {

// What the store says of the versions at which the streams of each service may have begun. A plain value.
struct VersionStatement {
    // Revision of the stored object; 0 if there is none.
    uint64_t revision = 0;
    // The era of the store in which it was written.
    uint64_t era = 0;
    // The only version of the service, or nothing if there are several, so that each stream has a record.
    std::map<base::ServiceName, std::optional<base::SoftwareVersion>> versions;
};

} // namespace redwingseam::origin
