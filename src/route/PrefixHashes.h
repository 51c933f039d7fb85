#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace redwingseam::route {

// Hashes of the prompt's prefixes at block boundaries, shortest first; a last, partial block counts
// only where it is the first one.
std::vector<uint64_t> prefixHashes(std::string_view prompt);

} // namespace redwingseam::route
