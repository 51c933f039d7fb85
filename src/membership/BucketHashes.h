#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace redwingseam::membership {

inline constexpr size_t bucketCount = 64;

// One hash per bucket of a gossip store. Stores with equal hashes are assumed to hold the same entries.
using BucketHashes = std::array<uint64_t, bucketCount>;

} // namespace redwingseam::membership
