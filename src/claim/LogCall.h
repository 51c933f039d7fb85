#pragma once

#include "claim/LogCallKind.h"
#include "redwingseam/claim/ClaimBatch.h"

#include <cstdint>

namespace redwingseam::claim {

// One call to the platform for a claim log.
struct LogCall {
    LogCallKind kind = LogCallKind::None;
    // Number of the log object to read or create.
    uint64_t number = 0;
    // Set only for Create.
    ClaimBatch batch;
};

} // namespace redwingseam::claim
