#pragma once

#include "redwingseam/claim/RecordKind.h"
#include "redwingseam/claim/ServiceResponse.h"

#include <cstdint>

namespace redwingseam::claim {

// The state of one key according to the part of the log that this node has applied.
struct KeyState {
    RecordKind kind = RecordKind::Claimed;
    uint64_t holder = 0;
    ServiceResponse response;
    // Number of the log object that last changed the key. Keys last changed before the retention mark are
    // dropped.
    uint64_t lastObjectNumber = 0;
};

} // namespace redwingseam::claim
