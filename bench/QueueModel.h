#pragma once

#include "Samples.h"
#include "schedule/FairQueue.h"
#include "schedule/WorkQueue.h"

#include <array>
#include <map>
#include <queue>

namespace redwingseam::bench {

// Requests of one client and rank that arrive at a steady rate.
struct ArrivalStream {
    base::ClientName client;
    base::Rank rank = base::Rank::Standard;
    base::Duration interval {};
    uint64_t cost = 50;
};

// Waiting times and served cost of one run of the queue model.
struct QueueOutcome {
    std::map<base::ClientName, Samples> waitMs;
    std::array<Samples, base::rankCount> waitMsByRank;
    std::array<double, base::rankCount> servedCost {};
    std::map<base::ClientName, double> servedByClient;
};

// Simulates a queue that feeds a pool of slots, without nodes or links. Each work item occupies a slot
// for its cost times `perCost`. This isolates the effect of the queue's order.
template<schedule::WorkQueue Queue>
QueueOutcome runQueue(Queue& queue, const std::vector<ArrivalStream>& arrivals, size_t slots, base::Duration perCost, base::Duration duration)
{
    using Completions = std::priority_queue<base::Instant, std::vector<base::Instant>, std::greater<>>;
    static constexpr base::Duration step = std::chrono::milliseconds(1);
    QueueOutcome outcome;
    Completions completions;
    std::vector<base::Duration> nextAt(arrivals.size(), base::Duration {});
    std::map<uint64_t, base::Instant> arrivedAt;
    uint64_t nextId = 0;
    for (base::Duration time {}; time < duration; time += step) {
        base::Instant now(time);
        for (size_t i = 0; i < arrivals.size(); ++i) {
            for (; nextAt[i] <= time; nextAt[i] += arrivals[i].interval) {
                schedule::QueuedWork work { { ++nextId }, {}, arrivals[i].client, arrivals[i].rank, arrivals[i].cost };
                work.deadline = now + std::chrono::hours(1);
                arrivedAt[nextId] = now;
                queue.push(std::move(work));
            }
        }
        while (!completions.empty() && completions.top() <= now)
            completions.pop();
        while (completions.size() < slots) {
            auto work = queue.pop();
            if (!work)
                break;
            auto waitedMs = static_cast<double>((now - arrivedAt[work->request.value]).count()) / 1000;
            arrivedAt.erase(work->request.value);
            outcome.waitMs[work->client].add(waitedMs);
            outcome.waitMsByRank[base::indexOf(work->rank)].add(waitedMs);
            outcome.servedCost[base::indexOf(work->rank)] += static_cast<double>(work->cost);
            outcome.servedByClient[work->client] += static_cast<double>(work->cost);
            completions.push(now + perCost * static_cast<int64_t>(work->cost.value()));
        }
    }
    return outcome;
}

} // namespace redwingseam::bench
