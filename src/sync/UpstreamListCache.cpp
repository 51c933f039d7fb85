#include "sync/UpstreamListCache.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::sync {

bool UpstreamListCache::update(UpstreamSnapshot snapshot)
{
    std::lock_guard guard(m_mutex);
    if (m_snapshot) {
        auto currentRevision = m_snapshot->list->revision;
        bool isOlder = snapshot.list->revision < currentRevision;
        bool isConfirmedEarlier = snapshot.list->revision == currentRevision && snapshot.confirmedAt < m_snapshot->confirmedAt;
        if (isOlder || isConfirmedEarlier)
            return false;
        if (snapshot.list->revision > currentRevision) {
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

std::shared_ptr<const UpstreamDelta> UpstreamListCache::deltaSince(uint64_t revision)
{
    std::lock_guard guard(m_mutex);
    if (!m_snapshot)
        return nullptr;
    auto& delta = m_deltas[revision];
    if (delta)
        return delta;
    auto from = std::find_if(m_earlierLists.begin(), m_earlierLists.end(), [&](const ListPointer& list) { return list->revision == revision; });
    if (from == m_earlierLists.end()) {
        m_deltas.erase(revision);
        return nullptr;
    }
    delta = std::make_shared<const UpstreamDelta>(deltaBetween(**from, *m_snapshot->list));
    return delta;
}

} // namespace redwingseam::sync
