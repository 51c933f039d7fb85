#pragma once

#include "fleet/VersionWeights.h"

#include <cstdint>

namespace redwingseam::origin {

// The numbers of a service's upstreams by version, and until when they held. A plain value.
struct WeightEntry {
    fleet::VersionWeights weights;
    // In milliseconds since 1970 by the clock of the node that stated it; 0 for the newest entry. Clocks differ by seconds.
    uint64_t endedAt = 0;

    bool operator==(const WeightEntry&) const = default;
};

} // namespace redwingseam::origin
