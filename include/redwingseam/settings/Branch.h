#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/settings/Field.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace redwingseam::settings {

// One branch of the settings tree: a path such as `/clients/lindqvist`, and the fields that it overrides.
struct Branch {
    std::string path;
    base::ObjectVersion version;
    bool isDeleted = false;
    // Indexed by Field. A boolean is stored as 0 or 1, a rank as the value of base::Rank.
    std::array<std::optional<int64_t>, fieldCount> values;

    auto operator<=>(const Branch&) const = default;
};

} // namespace redwingseam::settings
