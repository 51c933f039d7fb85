#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::fakes {

// Faults that a FakeCluster can inject.
enum class Fault : uint8_t {
    KillEngine,
    FreezeEngine,
    CrashNode,
    PauseNode,
    StoreDown,
    LoseStoreReplies,
    PartitionDataCentre,
};

inline constexpr size_t faultCount = 7;

} // namespace redwingseam::fakes

template<>
struct redwingseam::base::EnumNames<redwingseam::fakes::Fault> {
    using Fault = redwingseam::fakes::Fault;
    static constexpr std::array entries {
        std::pair { Fault::KillEngine, std::string_view { "kill-engine" } },
        std::pair { Fault::FreezeEngine, std::string_view { "freeze-engine" } },
        std::pair { Fault::CrashNode, std::string_view { "crash-node" } },
        std::pair { Fault::PauseNode, std::string_view { "pause-node" } },
        std::pair { Fault::StoreDown, std::string_view { "store-down" } },
        std::pair { Fault::LoseStoreReplies, std::string_view { "lose-answers" } },
        std::pair { Fault::PartitionDataCentre, std::string_view { "cut-data-centre" } },
    };
};
