#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <string>

namespace redwingseam::fleet {

// One start of an upstream as the store lists it. A plain value.
struct UpstreamInstance {
    base::UpstreamName id;
    base::ServiceName service;
    // `ip:port`; may be used again by another service once the upstream is gone.
    std::string address;
    base::DataCentreName dataCentre;
    // When this incarnation started, in milliseconds since 1970 by the upstream's clock; 0 if unknown.
    uint64_t incarnation = 0;
    // Requests that it runs at once.
    uint32_t slots = 1;
    // It announced that it will leave and must get no new work.
    bool isDraining = false;

    auto operator<=>(const UpstreamInstance&) const = default;
};

} // namespace redwingseam::fleet
