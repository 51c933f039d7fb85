#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/route/UpstreamKind.h"
#include "redwingseam/route/UpstreamState.h"

#include <cstdint>
#include <string>

namespace redwingseam::route {

// Describes an upstream as the platform lists it or a peer reports it.
struct UpstreamRecord {
    base::UpstreamName name;
    UpstreamKind kind = UpstreamKind::Engine;
    // A generation's pool is a model with its version, such as `draft@3`; a service's is its name.
    base::PoolName pool;
    base::DataCentreName dataCentre;
    // Base URL such as `http://127.0.0.1:9100`.
    std::string url;
    // Number of requests that the upstream runs at once.
    uint32_t slots = 1;
    // Increases each time the upstream restarts.
    uint64_t incarnation = 0;
    UpstreamState state = UpstreamState::Live;

    auto operator<=>(const UpstreamRecord&) const = default;
};

} // namespace redwingseam::route
