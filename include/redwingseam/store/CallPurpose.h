#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::store {

// Purpose of a call, by which the node routes the reply to the component that made the call.
enum class CallPurpose : uint8_t {
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
struct redwingseam::base::EnumNames<redwingseam::store::CallPurpose> {
    using CallPurpose = redwingseam::store::CallPurpose;
    static constexpr std::array entries {
        std::pair { CallPurpose::ClaimCheckpointRead, std::string_view { "claim-checkpoint-read" } },
        std::pair { CallPurpose::ClaimCheckpointWrite, std::string_view { "claim-checkpoint-write" } },
        std::pair { CallPurpose::ClaimRead, std::string_view { "claim-read" } },
        std::pair { CallPurpose::ClaimCreate, std::string_view { "claim-create" } },
        std::pair { CallPurpose::BranchRead, std::string_view { "branch-read" } },
        std::pair { CallPurpose::BranchAccept, std::string_view { "branch-accept" } },
        std::pair { CallPurpose::BranchStatus, std::string_view { "branch-status" } },
        std::pair { CallPurpose::LeaseRead, std::string_view { "lease-read" } },
        std::pair { CallPurpose::LeaseWrite, std::string_view { "lease-write" } },
        std::pair { CallPurpose::VmWrite, std::string_view { "vm-write" } },
    };
};
