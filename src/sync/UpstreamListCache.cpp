#include "sync/UpstreamListCache.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::sync {

bool UpstreamListCache::update(UpstreamSnapshot snapshot)
{
    std::lock_guard guard(m_mutex);
    if (m_snapshot) {
        auto currentVersion = m_snapshot->list->version;
        bool isOlder = snapshot.list->version < currentVersion;
        bool isConfirmedEarlier = snapshot.list->version == currentVersion && snapshot.confirmedAt < m_snapshot->confirmedAt;
        if (isOlder || isConfirmedEarlier)
            return false;
        if (snapshot.list->version > currentVersion) {
            m_earlierLists.push_back(m_snapshot->list);
            if (m_earlierLists.size() > maxEarlierLists)
                m_earlierLists.pop_front();
            m_deltas.clear();
        }
    }
    m_snapshot = std::move(snapshot);
    return true;
}

std::optional<UpstreamSnapshot> UpstreamListCache::snapshot() const
{
    std::lock_guard guard(m_mutex);
    return m_snapshot;
}

std::shared_ptr<const UpstreamDelta> UpstreamListCache::deltaSince(StoreVersion version)
{
    std::lock_guard guard(m_mutex);
    if (!m_snapshot)
        return nullptr;
    auto& delta = m_deltas[version];
    if (delta)
        return delta;
    auto from = std::find_if(m_earlierLists.begin(), m_earlierLists.end(), [&](const ListPointer& list) { return list->version == version; });
    if (from == m_earlierLists.end()) {
        m_deltas.erase(version);
        return nullptr;
    }
    delta = std::make_shared<const UpstreamDelta>(deltaBetween(**from, *m_snapshot->list));
    return delta;
}

} // namespace redwingseam::sync
