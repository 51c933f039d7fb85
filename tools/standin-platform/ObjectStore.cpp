#include "ObjectStore.h"

#include "base/MonotonicClock.h"

#include <mutex>

namespace redwingseam::standin {

std::optional<StoredItem> ObjectStore::read(const std::string& key)
{
    std::lock_guard guard(m_mutex);
    auto found = m_items.find(key);
    if (found == m_items.end() || !found->second.value)
        return std::nullopt;
    return found->second;
}

std::pair<StoredItem, bool> ObjectStore::write(const std::string& key, std::optional<uint64_t> expected, std::optional<std::string> value)
{
    std::lock_guard guard(m_mutex);
    auto& item = m_items[key];
    item.key = key;
    auto current = item.value ? item.version : 0;
    if (expected && *expected != current)
        return { item, false };
    item.version = ++m_revision;
    item.value = std::move(value);
    m_changed.broadcast();
    return { item, true };
}

std::vector<StoredItem> ObjectStore::list(const std::string& prefix, uint64_t& revision)
{
    std::lock_guard guard(m_mutex);
    revision = m_revision;
    return changesAfter(prefix, 0);
}

std::vector<StoredItem> ObjectStore::changesAfter(const std::string& prefix, uint64_t revision) const
{
    std::vector<StoredItem> items;
    for (auto item = m_items.lower_bound(prefix); item != m_items.end() && item->first.starts_with(prefix); ++item) {
        bool isDeletedBeforeList = !item->second.value && !revision;
        if (item->second.version > revision && !isDeletedBeforeList)
            items.push_back(item->second);
    }
    return items;
}

std::vector<StoredItem> ObjectStore::waitForChanges(const std::string& prefix, uint64_t& revision, base::Duration timeout)
{
    std::lock_guard guard(m_mutex);
    auto until = base::MonotonicClock {}.now() + timeout;
    while (true) {
        auto items = changesAfter(prefix, revision);
        auto now = base::MonotonicClock {}.now();
        if (!items.empty() || now >= until) {
            revision = m_revision;
            return items;
        }
        m_changed.waitFor(m_mutex, until - now);
    }
}

} // namespace redwingseam::standin
