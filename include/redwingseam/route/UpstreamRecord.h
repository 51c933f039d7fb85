#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/route/UpstreamKind.h"
#include "redwingseam/route/UpstreamState.h"

#include <cstdint>
#include <string>

namespace redwingseam::route {

// What the platform's list, or a peer, says of an upstream.
struct UpstreamRecord {
    base::UpstreamName name;
    UpstreamKind kind = UpstreamKind::Engine;
    // A generation's pool is a model with its version, such as `draft@3`; a service's is its name.
    base::PoolName pool;
    base::DataCentreName dataCentre;
    // Base URL such as `http://127.0.0.1:9100`.
    std::string url;
    // Requests that the upstream runs at once.
    uint32_t slots = 1;
    // Grows each time the upstream starts anew.
    uint64_t incarnation = 0;
    UpstreamState state = UpstreamState::Live;

    auto operator<=>(const UpstreamRecord&) const = default;
};

} // namespace redwingseam::route
