#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/ClaimRecord.h"

#include <vector>

namespace redwingseam::peer {

// Records that the sender wants appended by the receiver, the group's preferred writer.
struct ClaimRelay {
    base::VmName from;
    std::vector<claim::ClaimRecord> records;
};

} // namespace redwingseam::peer
