#include "base/Hash.h"

#include <xxhash.h>

namespace redwingseam::base {

uint64_t hashBytes(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t hashCombine(uint64_t hash, uint64_t word)
{
    return XXH3_64bits_withSeed(&word, sizeof word, hash);
}

} // namespace redwingseam::base
