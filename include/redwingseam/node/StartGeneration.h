#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace redwingseam::node {

// Starts an attempt at a generation on `upstream`. The engine continues after the tokens in `prefixIds`.
// `maxTokens` limits the whole answer, including the tokens in `prefixIds`.
struct StartGeneration {
    base::RequestId request;
    base::AttemptNumber attempt;
    route::UpstreamRecord upstream;
    std::string prompt;
    uint32_t maxTokens = 0;
    uint64_t seed = 0;
    base::Rank rank = base::Rank::Standard;
    std::vector<uint32_t> prefixIds;
};

} // namespace redwingseam::node
