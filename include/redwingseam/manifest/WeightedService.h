#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::manifest {

// A service that takes part of a route's requests, in proportion to `weight`.
struct WeightedService {
    base::ServiceName service;
    uint32_t weight = 1;
};

} // namespace redwingseam::manifest
