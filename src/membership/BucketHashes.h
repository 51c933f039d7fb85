#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace redwingseam::membership {

inline constexpr size_t bucketCount = 64;

// One hash per bucket of a fact store. Two stores with equal hashes hold the same facts.
using BucketHashes = std::array<uint64_t, bucketCount>;

} // namespace redwingseam::membership
