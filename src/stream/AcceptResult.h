#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace redwingseam::stream {

// What a ledger made of some tokens.
struct AcceptResult {
    // Index of the first fresh token in the answer.
    uint32_t firstIndex = 0;
    std::vector<Token> fresh;
    // The tokens start after a hole; the attempt is of no more use.
    bool hasGap = false;
    // Attempt that lost the race to the one that delivered.
    std::optional<base::AttemptNumber> loser;
};

} // namespace redwingseam::stream
