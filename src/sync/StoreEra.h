#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <cstdint>
#include <optional>

namespace redwingseam::sync {

// The latest era of the store that this node knows, from the store's responses or from other nodes. Thread-safe.
class StoreEra {
public:
    // Records that `era` was seen. Returns false if a later one is known, so that what was read in `era` is obsolete.
    bool learn(uint64_t era, base::Instant now);
    // Nothing until an era is known.
    std::optional<uint64_t> current() const;
    // Returns when the node learned that the store had been restored, or a zero Instant if it hasn't.
    base::Instant restoredAt() const;

private:
    mutable base::Mutex m_mutex;
    std::optional<uint64_t> m_current;
    base::Instant m_restoredAt {};
};

} // namespace redwingseam::sync
