#pragma once

#include "forward/ClientBacklog.h"
#include "forward/DispatchRate.h"
#include "schedule/FairQueue.h"

#include <array>
#include <unordered_map>

namespace redwingseam::forward {

// Requests of one service that wait on this node for room at an engine. A higher rank goes first; within a rank, work
// that can still meet its latency objective goes before work that cannot; within these, clients share by cost. Floors
// keep lower ranks from starving, and so do the dispatches that go to the other of the two groups at intervals.
//
// Answers the load pattern of a flood beyond the capacity of the engines: in order of arrival, every request of a long
// flood would wait until it is late. Not synchronised.
class ServiceQueue {
public:
    // Adds work whose dispatch meets its objective until `onTimeUntil`.
    void push(schedule::QueuedWork, base::Instant onTimeUntil, base::Instant now);
    // Returns whether the request is the next to be dispatched, and its turn has come.
    bool isNext(base::RequestId, base::Instant now);
    // Removes the request, which was dispatched. The next turn comes after `pause`.
    void recordDispatch(base::RequestId, base::Instant now, base::Duration pause);
    // Removes work that was pushed and not dispatched.
    void remove(const schedule::QueuedWork&);
    bool isEmpty() const { return !m_next && !m_onTime.size() && !m_late.size(); }
    // Returns how long the work will wait if it is pushed now, or nothing while that is unknown.
    std::optional<base::Duration> expectedWait(const schedule::QueuedWork&, base::Instant now) const;

private:
    // Every fourth dispatch goes to the group that would not be next, which is then served however long a flood lasts.
    static constexpr unsigned otherGroupInterval = 4;

    void expire(base::Instant now);
    std::optional<schedule::QueuedWork> pop();
    void subtractCost(const schedule::QueuedWork&);
    // Cost that is dispatched before the work: what precedes it by rank, but no more than its rank's floor and its client's
    // fair share allow.
    base::TokenCount costAhead(const schedule::QueuedWork&) const;

    schedule::FairQueue m_onTime;
    schedule::FairQueue m_late;
    // The work that was taken from the queues and waits for room.
    std::optional<schedule::QueuedWork> m_next;
    std::array<base::TokenCount, base::rankCount> m_waitingCost {};
    // The clients that have work in the queue.
    std::unordered_map<base::ClientName, ClientBacklog> m_clients;
    unsigned m_dispatches = 0;
    base::Instant m_nextTurnAt {};
    DispatchRate m_rate;
};

} // namespace redwingseam::forward
