#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace redwingseam::standin {

// An object in the store. A deleted object stays as a tombstone.
struct StoredItem {
    std::string key;
    uint64_t version = 0;
    // The object's JSON text; empty if the object was deleted.
    std::optional<std::string> value;
};

} // namespace redwingseam::standin
