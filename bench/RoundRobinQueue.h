#pragma once

#include "FifoQueue.h"

#include <array>

namespace redwingseam::bench {

// Baseline: round robin over the ranks; first in, first out within a rank.
class RoundRobinQueue {
public:
    void push(schedule::QueuedWork work) { m_ranks[base::indexOf(work.rank)].push(std::move(work)); }

    std::optional<schedule::QueuedWork> pop(base::Rank = base::Rank::Deferrable)
    {
        for (size_t step = 0; step < base::rankCount; ++step) {
            m_turn = (m_turn + 1) % base::rankCount;
            if (auto work = m_ranks[m_turn].pop())
                return work;
        }
        return std::nullopt;
    }

    std::optional<schedule::QueuedWork> popResume() { return std::nullopt; }

    std::vector<schedule::QueuedWork> expire(base::Instant now)
    {
        std::vector<schedule::QueuedWork> expired;
        for (auto& rank : m_ranks) {
            for (auto& work : rank.expire(now))
                expired.push_back(std::move(work));
        }
        return expired;
    }

    bool remove(base::RequestId request)
    {
        return std::any_of(m_ranks.begin(), m_ranks.end(), [&](FifoQueue& rank) { return rank.remove(request); });
    }

    size_t size() const { return m_ranks[0].size() + m_ranks[1].size() + m_ranks[2].size(); }
    size_t waiting(base::Rank rank) const { return m_ranks[base::indexOf(rank)].size(); }

private:
    std::array<FifoQueue, base::rankCount> m_ranks;
    size_t m_turn = 0;
};

static_assert(schedule::WorkQueue<RoundRobinQueue>);

} // namespace redwingseam::bench
