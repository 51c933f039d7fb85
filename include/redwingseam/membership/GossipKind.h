#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::membership {

// Type of a gossip entry's subject. It determines the form of the subject and the body.
enum class GossipKind : uint8_t {
    Vm,
    Upstream,
    // Written out as "verdict".
    CrashReport,
    HeavyClients,
    Branch,
};

} // namespace redwingseam::membership

template<>
struct redwingseam::base::EnumNames<redwingseam::membership::GossipKind> {
    using GossipKind = redwingseam::membership::GossipKind;
    static constexpr std::array entries {
        std::pair { GossipKind::Vm, std::string_view { "vm" } },
        std::pair { GossipKind::Upstream, std::string_view { "upstream" } },
        std::pair { GossipKind::CrashReport, std::string_view { "verdict" } },
        std::pair { GossipKind::HeavyClients, std::string_view { "heavy-clients" } },
        std::pair { GossipKind::Branch, std::string_view { "branch" } },
    };
};
