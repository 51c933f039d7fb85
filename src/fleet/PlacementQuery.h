#pragma once

#include "base/TokenCount.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/manifest/EngineSpec.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace redwingseam::fleet {

// What a request needs from an upstream.
struct PlacementQuery {
    base::ServiceName service;
    // Set only for services of model engines.
    std::optional<manifest::EngineSpec> engine;
    base::TokenCount promptTokens;
    base::TokenCount maxOutputTokens;
    // Upstreams on which this request has failed.
    std::vector<base::UpstreamName> excluded;
    // Address of the upstream to prefer if it is usable, such as the one with a backup of the run's KV cache. An
    // address is used because the upstream may have been listed again under another id.
    std::optional<std::string> preferredAddress;
    // Only upstreams of this software version may be chosen, unless it is empty.
    base::SoftwareVersion version;
    // Upstreams of this version are preferred to others that are not suspected, unless it is empty.
    base::SoftwareVersion preferredVersion;
    // Whether a second upstream should keep a backup of the run's KV cache.
    bool wantsBackup = false;
    // Identifies the part of the prompt that is the request's own; the same for a repeated request.
    std::optional<uint64_t> promptKey;
    // Whether the client resumes a stream that an engine has run before.
    bool isResumption = false;
    // Whether only an upstream with room may be chosen; see PoolEntry::hasRoom.
    bool requiresRoom = false;
    // Random bits for sampling and for breaking ties.
    uint64_t random = 0;
    base::Instant now {};
};

} // namespace redwingseam::fleet
