#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::origin {

// Whether it is known where a stream began.
enum class ResolutionKind : uint8_t {
    Known,
    // The store or other nodes are being asked.
    Pending,
    // None of those that were asked knows it.
    Unknown,
};

} // namespace redwingseam::origin

template<>
struct redwingseam::base::EnumNames<redwingseam::origin::ResolutionKind> {
    using ResolutionKind = redwingseam::origin::ResolutionKind;
    static constexpr std::array entries {
        std::pair { ResolutionKind::Known, std::string_view { "known" } },
        std::pair { ResolutionKind::Pending, std::string_view { "pending" } },
        std::pair { ResolutionKind::Unknown, std::string_view { "unknown" } },
    };
};
