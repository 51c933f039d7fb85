#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace redwingseam::route {

// Returns the hashes of the prompt's prefixes at block boundaries, shortest first. A partial last block
// counts only if it is the first block.
std::vector<uint64_t> prefixHashes(std::string_view prompt);

} // namespace redwingseam::route
