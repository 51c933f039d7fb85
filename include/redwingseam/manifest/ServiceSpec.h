#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/manifest/EngineSpec.h"

#include <optional>

namespace redwingseam::manifest {

// A service that routes lead to.
struct ServiceSpec {
    base::ServiceName name;
    // Connections that one of its upstreams accepts from all callers together.
    uint32_t maxConnections = 0;
    // Only for services of model engines.
    std::optional<EngineSpec> engine;
};

} // namespace redwingseam::manifest
