#pragma once

#include "redwingseam/membership/GossipKind.h"

#include <compare>
#include <string>

namespace redwingseam::membership {

// What a fact is about: a VM's, upstream's or branch's name, or a fingerprint in hexadecimal.
struct GossipKey {
    GossipKind kind = GossipKind::Vm;
    std::string subject;

    auto operator<=>(const GossipKey&) const = default;
};

} // namespace redwingseam::membership
