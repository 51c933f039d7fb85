#pragma once

#include "schedule/WorkQueue.h"

#include <algorithm>
#include <deque>

namespace redwingseam::bench {

// Baseline: serves first in, first out, regardless of rank and client.
class FifoQueue {
public:
    void push(schedule::QueuedWork work) { m_work.push_back(std::move(work)); }

    std::optional<schedule::QueuedWork> pop(base::Rank = base::Rank::Deferrable)
    {
        if (m_work.empty())
            return std::nullopt;
        auto work = std::move(m_work.front());
        m_work.pop_front();
        return work;
    }

    std::optional<schedule::QueuedWork> popResume() { return std::nullopt; }

    std::vector<schedule::QueuedWork> expire(base::Instant now)
    {
        std::vector<schedule::QueuedWork> expired;
        std::erase_if(m_work, [&](const schedule::QueuedWork& work) {
            if (work.deadline > now)
                return false;
            expired.push_back(work);
            return true;
        });
        return expired;
    }

    bool remove(base::RequestId request)
    {
        return std::erase_if(m_work, [&](const schedule::QueuedWork& work) { return work.request == request; }) > 0;
    }

    size_t size() const { return m_work.size(); }
    size_t waiting(base::Rank rank) const
    {
        return static_cast<size_t>(std::count_if(m_work.begin(), m_work.end(), [&](const schedule::QueuedWork& work) { return work.rank == rank; }));
    }

private:
    std::deque<schedule::QueuedWork> m_work;
};

static_assert(schedule::WorkQueue<FifoQueue>);

} // namespace redwingseam::bench
