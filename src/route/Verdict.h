#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::route {

// What is held against a fingerprint.
enum class Verdict : uint8_t {
    Clear,
    Suspected,
    Convicted,
};

} // namespace redwingseam::route

template<>
struct redwingseam::base::EnumNames<redwingseam::route::Verdict> {
    using Verdict = redwingseam::route::Verdict;
    static constexpr std::array entries {
        std::pair { Verdict::Clear, std::string_view { "clear" } },
        std::pair { Verdict::Suspected, std::string_view { "suspected" } },
        std::pair { Verdict::Convicted, std::string_view { "convicted" } },
    };
};
