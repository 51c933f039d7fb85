#pragma once

#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace redwingseam::standin {

// The stand-in model: each token is a fixed function of prompt, seed and index, so that any client can
// check an answer token by token.
stream::Token tokenAt(std::string_view prompt, uint64_t seed, uint32_t index);

} // namespace redwingseam::standin
