#pragma once

#include "StoredItem.h"
#include "base/Condition.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace redwingseam::standin {

// Versioned objects with conditional writes and a long-poll watch for changes. Thread-safe.
class ObjectStore {
public:
    // Returns an object, or nothing if it does not exist or was deleted.
    std::optional<StoredItem> read(const std::string& key);
    // Writes an object, or deletes it if `value` is empty, on condition that it has the expected version.
    // 0 stands for an object that does not exist; with an empty `expected` the write is unconditional.
    // Returns the item after the call and whether it was written.
    std::pair<StoredItem, bool> write(const std::string& key, std::optional<uint64_t> expected, std::optional<std::string> value);
    // Returns the objects whose key starts with `prefix` and sets `revision` to the store's latest one.
    std::vector<StoredItem> list(const std::string& prefix, uint64_t& revision);
    // Waits until there are changes after `revision` or the timeout has passed. Sets `revision` to the
    // latest one.
    std::vector<StoredItem> waitForChanges(const std::string& prefix, uint64_t& revision, base::Duration timeout);

private:
    // Returns the objects that changed after `revision`; for revision 0, all objects that are not deleted.
    std::vector<StoredItem> changesAfter(const std::string& prefix, uint64_t revision) const;

    base::Mutex m_mutex;
    base::Condition m_changed;
    std::map<std::string, StoredItem> m_items;
    uint64_t m_revision = 0;
};

} // namespace redwingseam::standin
