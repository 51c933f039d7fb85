#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::manifest {

// Capacity and features of the model engines behind a service. A plain value.
struct EngineSpec {
    // Maximum number of requests that one engine runs concurrently; 0 if not configured. Placement does not use it.
    uint32_t slots = 0;
    // Capacity of one engine's KV cache, in tokens of prompts and outputs.
    uint64_t kvCapacityTokens = 0;
    // Whether an engine can replicate a run's KV cache to a backup on another engine while the run continues.
    bool supportsBackups = false;
    // Time after the last update of a backup until it expires.
    base::Duration backupLifetime {};
};

} // namespace redwingseam::manifest
