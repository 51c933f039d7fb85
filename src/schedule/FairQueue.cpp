#include "schedule/FairQueue.h"

#include <algorithm>

namespace redwingseam::schedule {

void FairQueue::push(QueuedWork work)
{
    auto& rank = m_ranks[base::indexOf(work.rank)];
    rank.push(std::move(work));
}

std::optional<QueuedWork> FairQueue::pop(base::Rank lowest)
{
    RankSelector::HeadCosts heads;
    for (size_t rank = 0; rank < base::rankCount; ++rank)
        heads[rank] = m_ranks[rank].headCost();
    auto rank = m_selector.select(heads, lowest);
    if (!rank)
        return std::nullopt;
    auto work = m_ranks[base::indexOf(*rank)].pop();
    work->isFloorGrant = std::any_of(heads.begin(), heads.begin() + static_cast<ptrdiff_t>(base::indexOf(*rank)), [](const auto& head) { return head.has_value(); });
    return work;
}

std::optional<QueuedWork> FairQueue::popResume()
{
    for (auto& rank : m_ranks) {
        if (auto work = rank.popResume())
            return work;
    }
    return std::nullopt;
}

std::vector<QueuedWork> FairQueue::expire(base::Instant now)
{
    std::vector<QueuedWork> expired;
    for (auto& rank : m_ranks) {
        auto late = rank.expire(now);
        std::move(late.begin(), late.end(), std::back_inserter(expired));
    }
    return expired;
}

bool FairQueue::remove(base::RequestId request)
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [&](RankQueue& rank) { return rank.remove(request); });
}

size_t FairQueue::size() const
{
    size_t total = 0;
    for (const auto& rank : m_ranks)
        total += rank.size();
    return total;
}

} // namespace redwingseam::schedule
