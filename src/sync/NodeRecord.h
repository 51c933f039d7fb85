#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <string>

namespace redwingseam::sync {

// A node of the system as it announces itself in the store.
struct NodeRecord {
    base::VmName name;
    base::DataCentreName dataCentre;
    // `ip:port` at which it listens for other nodes.
    std::string peerAddress;

    bool operator==(const NodeRecord&) const = default;
};

} // namespace redwingseam::sync
