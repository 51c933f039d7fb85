#pragma once

#include "schedule/ClientQueue.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace redwingseam::schedule {

// Work of one rank. Interrupted streams go first, in order of arrival; new work is shared among
// clients by start-time fair queueing on cost over weight.
class RankQueue {
public:
    void push(QueuedWork);
    std::optional<QueuedWork> pop();
    // Next interrupted stream that did not give way to other work.
    std::optional<QueuedWork> popResume();
    std::optional<uint64_t> headCost() const;
    std::vector<QueuedWork> expire(base::Instant now);
    bool remove(base::RequestId);
    size_t size() const { return m_size; }
    size_t waitingForClient(const base::ClientName&) const;

    // Books cost that the client used elsewhere, so that spreading over nodes gains nothing.
    void charge(const base::ClientName&, uint64_t cost, int64_t weight);

private:
    using Order = std::set<std::pair<uint64_t, base::ClientName>>;

    QueuedWork popFairly();
    void evictIdleClients();

    std::deque<QueuedWork> m_resumes;
    std::map<base::ClientName, ClientQueue> m_clients;
    // Clients with work, by start tag.
    Order m_order;
    uint64_t m_virtualTime = 0;
    size_t m_size = 0;
};

} // namespace redwingseam::schedule
