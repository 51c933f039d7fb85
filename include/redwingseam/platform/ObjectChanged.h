#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/platform/ObjectValue.h"

#include <optional>

namespace redwingseam::platform {

// A watch or a list showed an object. It may be old or come twice. No value: the object was deleted.
struct ObjectChanged {
    base::ObjectKey key;
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

} // namespace redwingseam::platform
