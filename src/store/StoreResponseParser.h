#pragma once

#include "redwingseam/store/ObjectChanged.h"
#include "store/StoreChanges.h"
#include "store/StoredObject.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace redwingseam::store {

// Parse the store's JSON. Return nullopt if it is malformed. Changes omit objects of unknown types and
// objects that cannot be read.
std::optional<StoredObject> parseStoredObject(std::string_view json);
std::optional<StoreChanges> parseStoreChanges(std::string_view json);

} // namespace redwingseam::store
