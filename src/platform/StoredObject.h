#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/platform/ObjectValue.h"

#include <optional>

namespace redwingseam::platform {

// An object as the store shows it.
struct StoredObject {
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

} // namespace redwingseam::platform
