#pragma once

#include "redwingseam/store/ObjectValue.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::codec {

// JSON text of an object's value in the platform's store. Its member `type` tells the alternatives
// apart. `parseObject` returns nothing for anything else.
std::string formatObject(const store::ObjectValue&);
std::optional<store::ObjectValue> parseObject(std::string_view json);

} // namespace redwingseam::codec
