#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::manifest {

// What the upstreams of a service of model engines can hold and do.
struct EngineSpec {
    uint32_t slots = 0;
    // Tokens of prompts and outputs that fit in an engine's memory.
    uint64_t kvCapacityTokens = 0;
    // Whether an engine can keep a copy of a run's memory at another engine while it runs.
    bool supportsBackups = false;
    // How long a copy is kept after its last update.
    base::Duration backupLifetime {};
};

} // namespace redwingseam::manifest
