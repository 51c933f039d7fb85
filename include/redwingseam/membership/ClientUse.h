#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Rank.h"

#include <compare>
#include <cstdint>

namespace redwingseam::membership {

// Cost that a client was served at a VM in one reporting interval.
struct ClientUse {
    base::ClientName client;
    base::Rank rank = base::Rank::Standard;
    uint64_t cost = 0;
    int64_t weight = 0;

    auto operator<=>(const ClientUse&) const = default;
};

} // namespace redwingseam::membership
