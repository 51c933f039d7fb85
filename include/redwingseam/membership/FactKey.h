#pragma once

#include "redwingseam/membership/FactKind.h"

#include <compare>
#include <string>

namespace redwingseam::membership {

// What a fact is about: a VM's, upstream's or branch's name, or a fingerprint in hexadecimal.
struct FactKey {
    FactKind kind = FactKind::Vm;
    std::string subject;

    auto operator<=>(const FactKey&) const = default;
};

} // namespace redwingseam::membership
