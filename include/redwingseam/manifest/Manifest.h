#pragma once

#include "redwingseam/manifest/ClientAccount.h"
#include "redwingseam/manifest/ClientLimits.h"
#include "redwingseam/manifest/Route.h"
#include "redwingseam/manifest/ServiceSpec.h"

#include <optional>
#include <vector>

namespace redwingseam::manifest {

// One version of the operator's configuration of routes, services and client accounts. A plain value.
struct Manifest {
    // Increases with every change, not necessarily by 1.
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    ClientLimits limits;
    // Not set if no request needs a key. An empty list admits no key at all.
    std::optional<std::vector<ClientAccount>> accounts;
};

} // namespace redwingseam::manifest
