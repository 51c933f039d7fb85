#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Rank.h"

#include <compare>
#include <cstdint>

namespace redwingseam::membership {

// Cost of the work that one VM did for a client at one rank in a reporting interval. `cost` is in token
// equivalents. `weight` is relative: a client gets capacity in proportion to its weight among the clients of the
// same rank.
struct ClientUsage {
    base::ClientName client;
    base::Rank rank = base::Rank::Standard;
    uint64_t cost = 0;
    int64_t weight = 0;

    auto operator<=>(const ClientUsage&) const = default;
};

} // namespace redwingseam::membership
