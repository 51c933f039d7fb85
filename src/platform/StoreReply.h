#pragma once

#include "redwingseam/platform/ObjectChanged.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace redwingseam::platform {

// An object as the store shows it.
struct StoredObject {
    base::ObjectVersion version;
    std::optional<ObjectValue> value;
};

// What a list or a watch brought.
struct StoreChanges {
    uint64_t revision = 0;
    std::vector<ObjectChanged> changes;
};

// Fills these from the store's JSON. Objects of a type that is not known here are left out of changes.
std::optional<StoredObject> parseStoredObject(std::string_view json);
std::optional<StoreChanges> parseStoreChanges(std::string_view json);

} // namespace redwingseam::platform
