#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace redwingseam::manifest {

// A client account and the API keys that authenticate it. A plain value.
struct ClientAccount {
    base::ClientName name;
    std::vector<base::ApiKey> keys;
    // Overrides the priority of the route if set; 0 is the most urgent.
    std::optional<uint32_t> priority;
};

} // namespace redwingseam::manifest
