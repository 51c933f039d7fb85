#pragma once

#include "schedule/RankQueue.h"
#include "schedule/RankSelector.h"
#include "schedule/WorkQueue.h"

#include <array>

namespace redwingseam::schedule {

// Work queue with strict ranks, guaranteed minimum shares (floors) for the lower ranks, and fair sharing
// among the clients of a rank.
class FairQueue {
public:
    void setFloors(const RankFloors& floors) { m_selector.setFloors(floors); }
    const RankFloors& floors() const { return m_selector.floors(); }

    void push(QueuedWork);
    // Removes and returns the next work of rank `lowest` or higher. With `lowest` urgent this is urgent work
    // only; otherwise the ranks share capacity according to their floors.
    std::optional<QueuedWork> pop(base::Rank lowest = base::Rank::Deferrable);
    std::optional<QueuedWork> popResume();
    std::vector<QueuedWork> expire(base::Instant now);
    bool remove(base::RequestId);
    size_t size() const;
    size_t waiting(base::Rank rank) const { return m_ranks[base::indexOf(rank)].size(); }
    size_t waitingForClient(base::Rank rank, const base::ClientName& client) const { return m_ranks[base::indexOf(rank)].waitingForClient(client); }
    void charge(base::Rank rank, const base::ClientName& client, base::TokenCount cost, int64_t weight) { m_ranks[base::indexOf(rank)].charge(client, cost, weight); }

private:
    std::array<RankQueue, base::rankCount> m_ranks;
    RankSelector m_selector;
};

static_assert(WorkQueue<FairQueue>);

} // namespace redwingseam::schedule
