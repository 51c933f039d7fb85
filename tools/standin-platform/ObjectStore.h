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

// Versioned objects with conditional writes and a log of changes to watch. Thread-safe.
class ObjectStore {
public:
    std::optional<StoredItem> read(const std::string& key);
    // Writes if the object has the expected version; 0 stands for absent, nothing for any. Returns
    // the item after the call and whether it was written.
    std::pair<StoredItem, bool> write(const std::string& key, std::optional<uint64_t> expected, std::optional<std::string> value);
    std::vector<StoredItem> list(const std::string& prefix, uint64_t& revision);
    // Waits for changes after `revision`, which is moved to the latest one.
    std::vector<StoredItem> waitForChanges(const std::string& prefix, uint64_t& revision, base::Duration timeout);

private:
    std::vector<StoredItem> changesAfter(const std::string& prefix, uint64_t revision) const;

    base::Mutex m_mutex;
    base::Condition m_changed;
    std::map<std::string, StoredItem> m_items;
    uint64_t m_revision = 0;
};

} // namespace redwingseam::standin
