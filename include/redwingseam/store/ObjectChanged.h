#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/store/ObjectValue.h"

#include <optional>

namespace redwingseam::store {

// Event: a watch or a list returned an object. It may be outdated or delivered more than once. The value
// is empty if the object was deleted.
struct ObjectChanged {
    base::ObjectKey key;
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

} // namespace redwingseam::store
