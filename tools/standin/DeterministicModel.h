#pragma once

#include "redwingseam/stream/Token.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace redwingseam::standin {

// Model of the stand-in engine. Each token depends only on prompt, seed and index, so that a client can
// verify a response token by token.
stream::Token tokenAt(std::string_view prompt, uint64_t seed, uint32_t index);

} // namespace redwingseam::standin
