#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/store/ObjectValue.h"

#include <optional>

namespace redwingseam::store {

// An object as returned by the store.
struct StoredObject {
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

} // namespace redwingseam::store
