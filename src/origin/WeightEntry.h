#pragma once

#include "fleet/VersionWeights.h"
#include "origin/RecordGap.h"

#include <cstdint>

namespace redwingseam::origin {

// The numbers of a service's upstreams by version, and until when they held. A plain value.
struct WeightEntry {
    fleet::VersionWeights weights;
    // In milliseconds since 1970 by the clock of the node that stated it; 0 for the newest entry. Clocks differ by seconds.
    uint64_t endedAt = 0;
    // The lists of upstreams with these numbers lie after the first version and not after the second. Those of neighbouring entries
    // overlap by what no leader has observed. No version at the end stands for the newest entry, and for one whose end is not known.
    sync::StoreVersion from {};
    sync::StoreVersion until {};

    bool overlaps(const RecordGap& gap) const
    {
        bool beginsBeforeEnd = gap.isOpen() || from < gap.until;
        bool endsAfterBegin = until == sync::StoreVersion {} || gap.from <= until;
        return beginsBeforeEnd && endsAfterBegin;
    }

    bool operator==(const WeightEntry&) const = default;
};

} // namespace redwingseam::origin
