#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace redwingseam::manifest {

// A client account and the keys that stand for it.
struct ClientAccount {
    base::ClientName name;
    std::vector<base::ApiKey> keys;
    // Goes before the priority of the route; 0 is the most urgent.
    std::optional<uint32_t> priority;
};

} // namespace redwingseam::manifest
