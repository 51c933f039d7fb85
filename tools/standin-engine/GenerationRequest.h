#pragma once

#include "redwingseam/base/Rank.h"

#include <cstdint>
#include <string>

namespace redwingseam::standin {

// Decoded request for one generation.
struct GenerationRequest {
    std::string prompt;
    uint64_t seed = 0;
    uint32_t maxTokens = 0;
    // Number of tokens that were generated before; the generation resumes after them.
    uint32_t prefixSize = 0;
    base::Rank priority = base::Rank::Standard;
};

} // namespace redwingseam::standin
