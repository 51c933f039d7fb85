#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/membership/VmRecord.h"

#include <cstdint>
#include <vector>

namespace redwingseam::node {

// What a node is told about itself when it starts.
struct NodeConfig {
    base::VmName self;
    base::DataCentreName dataCentre;
    base::RegionName region;
    // `ip:port` of the listener for peers.
    std::string peerAddress;
    // Differs from, and is greater than, that of every earlier start of a VM of this name.
    uint64_t incarnation = 1;
    // VMs to ask first.
    std::vector<membership::VmRecord> seeds;
};

// Interval at which `Tick` is expected.
inline constexpr base::Duration tickInterval = std::chrono::milliseconds(50);

} // namespace redwingseam::node
