#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::forward {

// Why another attempt was started in the place of one that has not ended.
enum class SilenceReason : uint8_t {
    // A probe of the upstream failed and nothing was received since.
    Unreachable,
    // The stream made no progress.
    Stalled,
    // The response to an idempotent request was not complete in time.
    Late,
};

} // namespace redwingseam::forward

template<>
struct redwingseam::base::EnumNames<redwingseam::forward::SilenceReason> {
    using SilenceReason = redwingseam::forward::SilenceReason;
    static constexpr std::array entries {
        std::pair { SilenceReason::Unreachable, std::string_view { "unreachable" } },
        std::pair { SilenceReason::Stalled, std::string_view { "stalled" } },
        std::pair { SilenceReason::Late, std::string_view { "late" } },
    };
};
