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
    // Whether tokens between the next expected index and the attempt's next one are missing, so that the
    // attempt cannot continue the answer.
    bool hasMissingTokens = false;
    // The attempt that was closed because the other one delivered the next token first.
    std::optional<base::AttemptNumber> closedAttempt;
};

} // namespace redwingseam::stream
