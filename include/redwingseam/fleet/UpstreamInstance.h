#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <string>

namespace redwingseam::fleet {

// One incarnation of an upstream, as listed in the store. A restarted upstream has a later incarnation, under the same
// id or under a new id at the same address. A plain value without synchronisation.
struct UpstreamInstance {
    base::UpstreamName id;
    base::ServiceName service;
    // `ip:port`. Another service may reuse the address after the upstream is gone.
    std::string address;
    base::DataCentreName dataCentre;
    // Start time of this incarnation, in milliseconds since 1970 by the upstream's clock; 0 if unknown.
    uint64_t incarnation = 0;
    // Maximum number of requests that the upstream runs concurrently.
    uint32_t slots = 1;
    // Whether the upstream has announced that it is draining. It must then get no new work.
    bool isDraining = false;
    // Version of its software; empty if a node of an earlier release listed it.
    base::SoftwareVersion version {};

    auto operator<=>(const UpstreamInstance&) const = default;
};

} // namespace redwingseam::fleet
