#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::manifest {

// What a check of a manifest has found.
enum class FindingKind : uint8_t {
    // Requests that the entry is meant for fail.
    Error,
    // The entry has no effect.
    NeverMatches,
    // Two values that cannot both hold.
    Contradiction,
    // What differs from another version.
    Difference,
};

} // namespace redwingseam::manifest

template<>
struct redwingseam::base::EnumNames<redwingseam::manifest::FindingKind> {
    using FindingKind = redwingseam::manifest::FindingKind;
    static constexpr std::array entries {
        std::pair { FindingKind::Error, std::string_view { "error" } },
        std::pair { FindingKind::NeverMatches, std::string_view { "never-matches" } },
        std::pair { FindingKind::Contradiction, std::string_view { "contradiction" } },
        std::pair { FindingKind::Difference, std::string_view { "difference" } },
    };
};
