#pragma once

#include "redwingseam/settings/Field.h"
#include "redwingseam/settings/FieldKind.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace redwingseam::settings {

// What a field may hold, what it is when no branch sets it, and its line in the reference.
struct FieldSpec {
    Field field;
    FieldKind kind;
    int64_t minimum;
    int64_t maximum;
    int64_t defaultValue;
    std::string_view unit;
    std::string_view description;
};

// One entry per field, in the order of `Field`.
extern const std::array<FieldSpec, fieldCount> fieldSpecs;

} // namespace redwingseam::settings
