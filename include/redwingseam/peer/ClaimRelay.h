#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/ClaimRecord.h"

#include <vector>

namespace redwingseam::peer {

// Asks the receiver, the claim group's preferred writer, to append the records to the claim log.
struct ClaimRelay {
    base::VmName from;
    std::vector<claim::ClaimRecord> records;
};

} // namespace redwingseam::peer
