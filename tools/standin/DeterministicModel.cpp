#include "standin/DeterministicModel.h"

#include "base/Hash.h"

namespace redwingseam::standin {

static constexpr uint64_t vocabularySize = 50'000;

stream::Token tokenAt(std::string_view prompt, uint64_t seed, uint32_t index)
{
    auto hash = base::hashCombine(base::hashBytes(prompt, seed), index);
    auto id = static_cast<uint32_t>(hash % vocabularySize);
    return { id, "w" + std::to_string(id) + " " };
}

} // namespace redwingseam::standin
