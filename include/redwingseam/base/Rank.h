#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::base {

// Rank of a request, its priority class; a lower enumerator is served first.
enum class Rank : uint8_t {
    Urgent,
    Standard,
    Deferrable,
};

inline constexpr size_t rankCount = 3;

constexpr size_t indexOf(Rank rank)
{
    return static_cast<size_t>(rank);
}

template<>
struct EnumNames<Rank> {
    static constexpr std::array entries {
        std::pair { Rank::Urgent, std::string_view { "urgent" } },
        std::pair { Rank::Standard, std::string_view { "standard" } },
        std::pair { Rank::Deferrable, std::string_view { "deferrable" } },
    };
};

} // namespace redwingseam::base
