#pragma once

#include "FifoQueue.h"

#include <array>

namespace redwingseam::bench {

// Baseline: strict priority by rank; first in, first out within a rank.
class PriorityQueue {
public:
    void push(schedule::QueuedWork work) { m_ranks[base::indexOf(work.rank)].push(std::move(work)); }

    std::optional<schedule::QueuedWork> pop(base::Rank = base::Rank::Deferrable)
    {
        for (auto& rank : m_ranks) {
            if (auto work = rank.pop())
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
};

static_assert(schedule::WorkQueue<PriorityQueue>);

} // namespace redwingseam::bench
