#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <string>

namespace redwingseam::sync {

// A gateway node's entry in the store.
struct NodeRecord {
    base::VmName name;
    base::DataCentreName dataCentre;
    // The `ip:port` on which the node listens for other nodes.
    std::string peerAddress;

    bool operator==(const NodeRecord&) const = default;
};

} // namespace redwingseam::sync
