#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/manifest/EngineSpec.h"

#include <optional>

namespace redwingseam::manifest {

// A service that routes send requests to. A plain value.
struct ServiceSpec {
    base::ServiceName name;
    // Connections that each upstream of the service accepts, summed over all callers.
    uint32_t maxConnections = 0;
    // Set only for services of model engines.
    std::optional<EngineSpec> engine;
};

} // namespace redwingseam::manifest
