#pragma once

#include "origin/RecordGap.h"

#include <algorithm>
#include <vector>

namespace redwingseam::origin {

// Which streams of a node have records: those that it began at lists of upstreams up to `writtenThrough`, except in the gaps. A
// plain value, written with the records, so that a copy of the store tells what the copy holds.
struct RecordCoverage {
    sync::StoreVersion writtenThrough;
    std::vector<RecordGap> gaps;

    // Handles that the process that wrote this has ended, at a time that is not known.
    void beginGap() { gaps.push_back({ writtenThrough }); }
    // Ends the open gaps. Returns whether there were any.
    bool endGaps(sync::StoreVersion until, uint64_t now)
    {
        bool hasOpen = false;
        for (auto& gap : gaps) {
            if (!gap.isOpen())
                continue;
            hasOpen = true;
            gap.until = std::max(gap.from, until);
            gap.endedAt = now;
        }
        return hasOpen;
    }
    // Removes the gaps that ended before `oldest`.
    void removeOlderThan(uint64_t oldest)
    {
        std::erase_if(gaps, [&](const RecordGap& gap) { return !gap.isOpen() && gap.endedAt < oldest; });
    }

    bool operator==(const RecordCoverage&) const = default;
};

} // namespace redwingseam::origin
