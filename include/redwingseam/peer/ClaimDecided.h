#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/ClaimRecord.h"

#include <cstdint>

namespace redwingseam::peer {

// What the log says of a key after the record of `holder` was appended to it.
struct ClaimDecided {
    base::VmName from;
    uint64_t holder = 0;
    claim::RecordKind kind = claim::RecordKind::Claimed;
    // Record in force for the key.
    claim::ClaimRecord inForce;
};

} // namespace redwingseam::peer
