#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/ClaimRecord.h"

#include <cstdint>

namespace redwingseam::peer {

// Reports the state of a key in the claim log after a record was appended. `holder` and `kind` identify that
// record.
struct ClaimDecided {
    base::VmName from;
    uint64_t holder = 0;
    claim::RecordKind kind = claim::RecordKind::Claimed;
    // Record that is in force for the key: the appended one, or an earlier one of another holder.
    claim::ClaimRecord effectiveRecord;
};

} // namespace redwingseam::peer
