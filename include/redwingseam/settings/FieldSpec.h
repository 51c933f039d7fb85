#pragma once

#include "redwingseam/settings/Field.h"
#include "redwingseam/settings/FieldKind.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace redwingseam::settings {

// Describes a field: its type and inclusive range, the value used if no branch sets it, and its unit and
// description in the settings reference.
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
