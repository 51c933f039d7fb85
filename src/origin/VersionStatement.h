#pragma once

#include "origin/WeightHistory.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <map>

namespace redwingseam::origin {

// What the store says of the versions at which the streams of each service may have begun. A plain value.
struct VersionStatement {
    // Revision of the stored object; 0 if there is none.
    uint64_t revision = 0;
    // The era of the store in which it was written.
    uint64_t era = 0;
    // A service with several versions has a record of each stream. The empty version stands for others that are not known.
    std::map<base::ServiceName, WeightHistory> services;
    // How long clients of streams have said that they will wait; zero if no leader has stated it.
    base::Duration longestClientTime {};

    bool operator==(const VersionStatement&) const = default;
};

} // namespace redwingseam::origin
