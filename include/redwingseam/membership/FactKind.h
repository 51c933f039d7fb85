#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::membership {

// What a fact is about; its subject's form follows from it.
enum class FactKind : uint8_t {
    Vm,
    Upstream,
    Verdict,
    HeavyClients,
    Branch,
};

} // namespace redwingseam::membership

template<>
struct redwingseam::base::EnumNames<redwingseam::membership::FactKind> {
    using FactKind = redwingseam::membership::FactKind;
    static constexpr std::array entries {
        std::pair { FactKind::Vm, std::string_view { "vm" } },
        std::pair { FactKind::Upstream, std::string_view { "upstream" } },
        std::pair { FactKind::Verdict, std::string_view { "verdict" } },
        std::pair { FactKind::HeavyClients, std::string_view { "heavy-clients" } },
        std::pair { FactKind::Branch, std::string_view { "branch" } },
    };
};
