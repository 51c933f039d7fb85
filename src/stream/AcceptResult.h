#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace redwingseam::stream {

// Result of passing an attempt's tokens to a TokenSequencer.
struct AcceptResult {
    // Index in the answer of the first token in `fresh`.
    uint32_t firstIndex = 0;
    std::vector<Token> accepted;
    // The tokens skip ahead of the next expected index, so the attempt cannot continue the answer.
    bool hasMissingTokens = false;
    // Attempt that was closed because the other one delivered the next token first.
    std::optional<base::AttemptNumber> closedAttempt;
};

} // namespace redwingseam::stream
