#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace redwingseam::route {

// Returns the hashes of the prompt's prefixes at the boundaries of 256-byte blocks, shortest first, for at
// most 16 blocks. A partial last block counts only if it is the first block.
std::vector<uint64_t> prefixHashes(std::string_view prompt);

} // namespace redwingseam::route
