#include "route/PrefixHashes.h"

#include "base/Hash.h"

#include <algorithm>

namespace redwingseam::route {

static constexpr size_t blockBytes = 256;
static constexpr size_t maxBlocks = 16;

std::vector<uint64_t> prefixHashes(std::string_view prompt)
{
    std::vector<uint64_t> hashes;
    size_t blocks = std::clamp<size_t>(prompt.size() / blockBytes, 1, maxBlocks);
    uint64_t hash = 0;
    for (size_t block = 0; block < blocks; ++block) {
        hash = base::hashBytes(prompt.substr(block * blockBytes, blockBytes), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

} // namespace redwingseam::route
