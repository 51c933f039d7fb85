#pragma once

#include "redwingseam/membership/GossipKind.h"

#include <compare>
#include <string>

namespace redwingseam::membership {

// Identifies the subject of a gossip entry: the name of a VM or upstream, the path of a branch, or a
// request's fingerprint in hexadecimal, followed for one crash by the upstream and its
// incarnation.
struct GossipKey {
    GossipKind kind = GossipKind::Vm;
    std::string subject;

    auto operator<=>(const GossipKey&) const = default;
};

} // namespace redwingseam::membership
