#pragma once

#include "base/Hash.h"
#include "redwingseam/stream/Token.h"

#include <string_view>

namespace redwingseam::fakes {

// Returns a token that depends only on prompt, seed and index.
inline stream::Token fakeToken(std::string_view prompt, uint64_t seed, uint32_t index)
{
    static constexpr uint64_t vocabulary = 50'000;
    return { static_cast<uint32_t>(base::hashCombine(base::hashBytes(prompt, seed), index) % vocabulary), "t" };
}

} // namespace redwingseam::fakes
