#pragma once

#include <cstdint>
#include <string_view>

namespace redwingseam::base {

// Returns the 64-bit hash of `bytes`, which is the same on every node and in every release.
uint64_t hashBytes(std::string_view bytes, uint64_t seed = 0);

// Returns the hash of `word` with `hash` as the seed. Chained calls hash a sequence, such as token ids.
uint64_t hashCombine(uint64_t hash, uint64_t word);

} // namespace redwingseam::base
