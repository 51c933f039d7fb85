#include "membership/RumorQueue.h"

#include <algorithm>
#include <mutex>

namespace redwingseam::membership {

void RumorQueue::add(const Fact& fact, uint32_t sends)
{
    std::lock_guard guard(m_mutex);
    std::erase_if(m_rumors, [&](const Rumor& rumor) { return rumor.fact.key == fact.key; });
    m_rumors.push_front({ fact, sends });
}

std::vector<Fact> RumorQueue::take(size_t most)
{
    std::lock_guard guard(m_mutex);
    std::vector<Fact> facts;
    std::deque<Rumor> sent;
    while (!m_rumors.empty() && facts.size() < most) {
        auto rumor = std::move(m_rumors.front());
        m_rumors.pop_front();
        facts.push_back(rumor.fact);
        if (--rumor.sendsLeft)
            sent.push_back(std::move(rumor));
    }
    std::move(sent.begin(), sent.end(), std::back_inserter(m_rumors));
    return facts;
}

size_t RumorQueue::size()
{
    std::lock_guard guard(m_mutex);
    return m_rumors.size();
}

} // namespace redwingseam::membership
