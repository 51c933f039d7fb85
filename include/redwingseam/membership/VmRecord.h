#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/membership/VmState.h"

#include <compare>
#include <string>

namespace redwingseam::membership {

// Description of a VM of the system, from the VM itself or as a peer last knew it.
struct VmRecord {
    base::VmName name;
    base::DataCentreName dataCentre;
    // Address of the peer listener, as `ip:port`.
    std::string peerAddress;
    VmState state = VmState::Live;

    auto operator<=>(const VmRecord&) const = default;
};

} // namespace redwingseam::membership
