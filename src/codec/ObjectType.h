#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::codec {

// Alternatives of store::ObjectValue, in the same order. The names are the `type` of stored objects.
enum class ObjectType : uint8_t {
    ClaimBatch,
    Checkpoint,
    BranchEdit,
    AcceptedBranch,
    BranchStatus,
    Lease,
    Vm,
    Upstream,
};

} // namespace redwingseam::codec

template<>
struct redwingseam::base::EnumNames<redwingseam::codec::ObjectType> {
    using ObjectType = redwingseam::codec::ObjectType;
    static constexpr std::array entries {
        std::pair { ObjectType::ClaimBatch, std::string_view { "claim-batch" } },
        std::pair { ObjectType::Checkpoint, std::string_view { "checkpoint" } },
        std::pair { ObjectType::BranchEdit, std::string_view { "raw-branch" } },
        std::pair { ObjectType::AcceptedBranch, std::string_view { "accepted-branch" } },
        std::pair { ObjectType::BranchStatus, std::string_view { "branch-status" } },
        std::pair { ObjectType::Lease, std::string_view { "lease" } },
        std::pair { ObjectType::Vm, std::string_view { "vm" } },
        std::pair { ObjectType::Upstream, std::string_view { "upstream" } },
    };
};
