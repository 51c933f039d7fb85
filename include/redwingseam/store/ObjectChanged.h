#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/store/ObjectValue.h"

#include <optional>

namespace redwingseam::store {

// A watch or a list showed an object. It may be old or come twice. No value: the object was deleted.
struct ObjectChanged {
    base::ObjectKey key;
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

} // namespace redwingseam::store
