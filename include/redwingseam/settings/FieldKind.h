#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::settings {

// JSON type of a field. Values of every kind are stored as 64-bit integers.
enum class FieldKind : uint8_t {
    Integer,
    Boolean,
    RankName,
};

} // namespace redwingseam::settings

template<>
struct redwingseam::base::EnumNames<redwingseam::settings::FieldKind> {
    using FieldKind = redwingseam::settings::FieldKind;
    static constexpr std::array entries {
        std::pair { FieldKind::Integer, std::string_view { "integer" } },
        std::pair { FieldKind::Boolean, std::string_view { "boolean" } },
        std::pair { FieldKind::RankName, std::string_view { "rank" } },
    };
};
