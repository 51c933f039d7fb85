#pragma once

#include "claim/AppendStep.h"
#include "redwingseam/claim/ClaimBatch.h"

#include <cstdint>

namespace redwingseam::claim {

// One call to the platform on behalf of a claim log.
struct LogCall {
    AppendStep step = AppendStep::None;
    // Number of the log object that is read or created.
    uint64_t number = 0;
    // Only with Create.
    ClaimBatch batch;
};

} // namespace redwingseam::claim
