#pragma once

#include "schedule/ClientQueue.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace redwingseam::schedule {

// Work of one rank. Resumed work comes first, in order of arrival. New work is shared among clients by
// start-time fair queueing on cost divided by weight.
class RankQueue {
public:
    void push(QueuedWork);
    std::optional<QueuedWork> pop();
    // Removes and returns the next resumed work that was not preempted.
    std::optional<QueuedWork> popResume();
    // Returns the cost of the work that `pop` returns next, or nothing if the queue is empty.
    std::optional<base::TokenCount> headCost() const;
    // Removes and returns new work whose deadline has passed. Resumed work does not expire, since the caller
    // of expired work is refused as not run.
    std::vector<QueuedWork> expire(base::Instant now);
    bool remove(base::RequestId);
    size_t size() const { return m_size; }
    size_t waitingForClient(const base::ClientName&) const;

    // Charges the client for cost that it used at other nodes, so that spreading its requests over nodes
    // does not raise its share.
    void charge(const base::ClientName&, base::TokenCount cost, int64_t weight);

private:
    using StartTagOrder = std::set<std::pair<uint64_t, base::ClientName>>;

    QueuedWork popFairly();
    void evictIdleClients();

    std::deque<QueuedWork> m_resumes;
    std::map<base::ClientName, ClientQueue> m_clients;
    // Clients with queued work, by start tag.
    StartTagOrder m_clientsByStartTag;
    // Highest start tag served so far, in thousandths of cost divided by weight.
    uint64_t m_virtualTime = 0;
    size_t m_size = 0;
};

} // namespace redwingseam::schedule
