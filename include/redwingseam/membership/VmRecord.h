#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/membership/VmState.h"

#include <compare>
#include <string>

namespace redwingseam::membership {

// A VM of the system, as it describes itself or as a peer last knew it.
struct VmRecord {
    base::VmName name;
    base::DataCentreName dataCentre;
    // `ip:port` of the listener for peers.
    std::string peerAddress;
    VmState state = VmState::Live;

    auto operator<=>(const VmRecord&) const = default;
};

} // namespace redwingseam::membership
