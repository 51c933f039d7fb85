#pragma once

#include "redwingseam/claim/Answer.h"
#include "redwingseam/claim/RecordKind.h"

#include <cstdint>

namespace redwingseam::claim {

// What the log says of one key so far.
struct KeyState {
    RecordKind kind = RecordKind::Claimed;
    uint64_t holder = 0;
    Answer answer;
    // Number of the log object that last changed the key; the oldest keys are dropped first.
    uint64_t number = 0;
};

} // namespace redwingseam::claim
