#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/manifest/EngineSpec.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace redwingseam::fleet {

// What a request needs of an upstream.
struct PlacementQuery {
    base::ServiceName service;
    // Only for services of model engines.
    std::optional<manifest::EngineSpec> engine;
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;
    // Upstreams that this request has failed at.
    std::vector<base::UpstreamName> excluded;
    // Address of the upstream to take if it is usable, such as the one that holds a copy of the run's
    // memory. The upstream may be listed under another id by now.
    std::optional<std::string> preferredAddress;
    // Whether a copy of the run's memory should be kept at a second upstream.
    bool wantsBackup = false;
    // Word that breaks ties.
    uint64_t random = 0;
    base::Instant now {};
};

} // namespace redwingseam::fleet
