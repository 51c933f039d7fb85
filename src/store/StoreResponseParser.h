#pragma once

#include "redwingseam/store/ObjectChanged.h"
#include "store/StoreChanges.h"
#include "store/StoredObject.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace redwingseam::store {

// Fills these from the store's JSON. Objects of a type that is not known here are left out of changes.
std::optional<StoredObject> parseStoredObject(std::string_view json);
std::optional<StoreChanges> parseStoreChanges(std::string_view json);

} // namespace redwingseam::store
