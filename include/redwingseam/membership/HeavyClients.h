#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/membership/ClientUsage.h"

#include <compare>
#include <vector>

namespace redwingseam::membership {

// Clients that used the most cost at a VM in its last reporting interval.
struct HeavyClients {
    base::VmName vm;
    std::vector<ClientUsage> clients;

    auto operator<=>(const HeavyClients&) const = default;
};

} // namespace redwingseam::membership
