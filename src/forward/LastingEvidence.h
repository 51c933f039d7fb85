#pragma once

#include "forward/CrashRecord.h"
#include "forward/PartReports.h"

#include <vector>

namespace redwingseam::forward {

// The part of the evidence on requests and prompt parts that crash upstreams which must outlive all nodes. A plain value.
struct LastingEvidence {
    // In the order of their fingerprints.
    std::vector<CrashRecord> requests;
    // The crashes and trials of the quarantined parts.
    PartReports parts;

    // Returns whether both say the same, but for small differences in time.
    bool isSimilar(const LastingEvidence&) const;
};

} // namespace redwingseam::forward
