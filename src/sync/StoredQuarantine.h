#pragma once

#include "forward/LastingEvidence.h"

#include <cstdint>

namespace redwingseam::sync {

// What the store holds on the requests and prompt parts that crash upstreams. A plain value.
struct StoredQuarantine {
    uint64_t era = 0;
    // Revision of the stored object; 0 if there is none.
    uint64_t revision = 0;
    forward::LastingEvidence evidence;
};

} // namespace redwingseam::sync
