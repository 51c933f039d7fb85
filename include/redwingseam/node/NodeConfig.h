#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/membership/VmRecord.h"

#include <cstdint>
#include <vector>

namespace redwingseam::node {

// Start-up configuration of a node.
struct NodeConfig {
    base::VmName self;
    base::DataCentreName dataCentre;
    base::RegionName region;
    // `ip:port` of the listener for peers.
    std::string peerAddress;
    // Greater than the incarnation of every earlier start of a VM with this name.
    uint64_t incarnation = 1;
    // VMs that the node contacts first. The record that such a VM gossips about itself replaces the one here.
    std::vector<membership::VmRecord> seedVms;
};

// Interval at which the front end sends `Tick`.
inline constexpr base::Duration tickInterval = std::chrono::milliseconds(50);

} // namespace redwingseam::node
