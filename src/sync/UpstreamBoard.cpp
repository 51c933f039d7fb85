#include "sync/UpstreamBoard.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::sync {

bool UpstreamBoard::post(UpstreamListing listing)
{
    std::lock_guard guard(m_mutex);
    if (m_listing) {
        auto held = m_listing->list->revision;
        bool isOlder = listing.list->revision < held;
        bool isOlderRead = listing.list->revision == held && listing.readAt < m_listing->readAt;
        if (isOlder || isOlderRead)
            return false;
        if (listing.list->revision > held) {
            m_earlier.push_back(m_listing->list);
            if (m_earlier.size() > mostEarlier)
                m_earlier.pop_front();
            m_deltas.clear();
        }
    }
    m_listing = std::move(listing);
    return true;
}

std::optional<UpstreamListing> UpstreamBoard::listing() const
{
    std::lock_guard guard(m_mutex);
    return m_listing;
}

std::shared_ptr<const UpstreamDelta> UpstreamBoard::changesSince(uint64_t revision)
{
    std::lock_guard guard(m_mutex);
    if (!m_listing)
        return nullptr;
    auto& delta = m_deltas[revision];
    if (delta)
        return delta;
    auto from = std::find_if(m_earlier.begin(), m_earlier.end(), [&](const ListPointer& list) { return list->revision == revision; });
    if (from == m_earlier.end()) {
        m_deltas.erase(revision);
        return nullptr;
    }
    delta = std::make_shared<const UpstreamDelta>(deltaBetween(**from, *m_listing->list));
    return delta;
}

} // namespace redwingseam::sync
