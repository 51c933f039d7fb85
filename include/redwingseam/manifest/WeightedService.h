#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::manifest {

// A service that receives a share of a route's requests, in proportion to `weight`. A plain value.
struct WeightedService {
    base::ServiceName service;
    uint32_t weight = 1;
};

} // namespace redwingseam::manifest
