#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace redwingseam::standin {

// An object as it lies in the store.
struct StoredItem {
    std::string key;
    uint64_t version = 0;
    // JSON text; nothing once it was deleted.
    std::optional<std::string> value;
};

} // namespace redwingseam::standin
