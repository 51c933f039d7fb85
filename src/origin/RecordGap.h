#pragma once

#include "sync/StoreVersion.h"

#include <cstdint>

namespace redwingseam::origin {

// Streams that a node began while it held a list of upstreams between two versions, inclusive, may have no record: they were not
// in the store when the node's process ended. Versions of the list order the times of all nodes, unlike their clocks. A plain value.
struct RecordGap {
    sync::StoreVersion from;
    // No version while the end is not known.
    sync::StoreVersion until;
    // In milliseconds since 1970 by the clock of the node; 0 while the end is not known. Clocks differ by seconds.
    uint64_t endedAt = 0;

    bool isOpen() const { return until == sync::StoreVersion {}; }

    bool operator==(const RecordGap&) const = default;
};

} // namespace redwingseam::origin
