#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::store {

// Part of the node that made a call, so that the reply finds its way back.
enum class Purpose : uint8_t {
    ClaimCheckpointRead,
    ClaimCheckpointWrite,
    ClaimRead,
    ClaimCreate,
    BranchRead,
    BranchAccept,
    BranchStatus,
    LeaseRead,
    LeaseWrite,
    VmWrite,
};

} // namespace redwingseam::store

template<>
struct redwingseam::base::EnumNames<redwingseam::store::Purpose> {
    using Purpose = redwingseam::store::Purpose;
    static constexpr std::array entries {
        std::pair { Purpose::ClaimCheckpointRead, std::string_view { "claim-checkpoint-read" } },
        std::pair { Purpose::ClaimCheckpointWrite, std::string_view { "claim-checkpoint-write" } },
        std::pair { Purpose::ClaimRead, std::string_view { "claim-read" } },
        std::pair { Purpose::ClaimCreate, std::string_view { "claim-create" } },
        std::pair { Purpose::BranchRead, std::string_view { "branch-read" } },
        std::pair { Purpose::BranchAccept, std::string_view { "branch-accept" } },
        std::pair { Purpose::BranchStatus, std::string_view { "branch-status" } },
        std::pair { Purpose::LeaseRead, std::string_view { "lease-read" } },
        std::pair { Purpose::LeaseWrite, std::string_view { "lease-write" } },
        std::pair { Purpose::VmWrite, std::string_view { "vm-write" } },
    };
};
