#pragma once

#include "redwingseam/store/ObjectValue.h"

#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::codec {

// Convert the value of an object in the platform's store to and from JSON text. The member `type` names the
// alternative. `parseObject` returns nothing if the text is malformed or the type is unknown.
std::string formatObject(const store::ObjectValue&);
std::optional<store::ObjectValue> parseObject(std::string_view json);

} // namespace redwingseam::codec
