#include "membership/RumorQueue.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::membership {

void RumorQueue::add(const GossipEntry& entry, uint32_t sendCount)
{
    std::lock_guard guard(m_mutex);
    std::erase_if(m_rumors, [&](const Rumor& rumor) { return rumor.entry.key == entry.key; });
    m_rumors.push_front({ entry, sendCount });
}

std::vector<GossipEntry> RumorQueue::take(size_t maxEntries)
{
    std::lock_guard guard(m_mutex);
    std::vector<GossipEntry> entries;
    std::deque<Rumor> sent;
    while (!m_rumors.empty() && entries.size() < maxEntries) {
        auto rumor = std::move(m_rumors.front());
        m_rumors.pop_front();
        entries.push_back(rumor.entry);
        if (--rumor.sendsLeft)
            sent.push_back(std::move(rumor));
    }
    std::move(sent.begin(), sent.end(), std::back_inserter(m_rumors));
    return entries;
}

size_t RumorQueue::size()
{
    std::lock_guard guard(m_mutex);
    return m_rumors.size();
}

} // namespace redwingseam::membership
