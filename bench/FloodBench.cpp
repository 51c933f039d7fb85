#include "Benches.h"
#include "FifoQueue.h"
#include "FigureReporter.h"
#include "PriorityQueue.h"
#include "QueueModel.h"
#include "RoundRobinQueue.h"
#include "Samples.h"
#include "fakes/Deployment.h"

#include <string>

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    struct FloodSize {
        const char* name;
        size_t nodes;
        size_t engines;
    };

    struct FloodRun {
        Samples urgentFirstTokenMs;
        std::array<uint64_t, base::rankCount> tokens {};
    };

    node::CallerRequest requestOfRank(base::Rank rank, uint64_t number)
    {
        auto request = fakes::generationRequest(std::string(base::nameOf(rank)) + std::to_string(number), 50, "client-" + std::to_string(number % 10));
        request.work.text = std::string(base::nameOf(rank));
        return request;
    }

    // Concurrent streams of one worker at the design size: 5.2 million tokens/s at 39 ms per token are
    // 200,000 streams on 5,300 workers.
    constexpr uint32_t slotsPerWorker = 38;

    // Sends `perSecond` requests/s of each rank to one data centre, whose engines generate 50 tokens/s on
    // each slot.
    FloodRun runFlood(const FloodSize& size, const std::array<size_t, base::rankCount>& perSecond, size_t seconds)
    {
        fakes::ClusterOptions options { .seed = 54, .nodes = size.nodes };
        fakes::Deployment<> deployment(options, size.engines, slotsPerWorker);
        auto& cluster = deployment.cluster;
        for (const auto& [rank, name] : base::EnumNames<base::Rank>::entries)
            fakes::editBranch(cluster, "/work/" + std::string(name), "{\"rank\":\"" + std::string(name) + "\",\"queue_limit\":100000,\"deadline_ms\":600000}");
        cluster.runFor(5s);
        static constexpr size_t stepsPerSecond = 20;
        uint64_t number = 0;
        for (size_t step = 0; step < seconds * stepsPerSecond; ++step) {
            for (const auto& [rank, name] : base::EnumNames<base::Rank>::entries) {
                auto rate = perSecond[base::indexOf(rank)];
                auto due = (step + 1) * rate / stepsPerSecond - step * rate / stepsPerSecond;
                for (size_t i = 0; i < due; ++i) {
                    cluster.call(number % size.nodes, requestOfRank(rank, number));
                    ++number;
                }
            }
            cluster.runFor(1000ms / stepsPerSecond);
        }
        FloodRun run;
        for (const auto& caller : cluster.callers()) {
            auto rank = base::enumFromName<base::Rank>(caller.request.work.text);
            if (!rank)
                continue;
            run.tokens[base::indexOf(*rank)] += caller.received.size();
            if (*rank != base::Rank::Urgent)
                continue;
            // A request without a first token has waited at least until now.
            auto firstTokenAfter = caller.firstTokenAfter.value_or(cluster.clock().now() - caller.startedAt);
            run.urgentFirstTokenMs.add(static_cast<double>(firstTokenAfter.count()) / 1000);
        }
        return run;
    }

    // Runs the same flood of deferrable work on the queue alone, to isolate the effect of its order.
    template<typename Queue>
    double baselineUrgentWait()
    {
        Queue queue;
        std::vector<ArrivalStream> arrivals {
            { { "urgent" }, base::Rank::Urgent, 50ms, 50 },
            { { "flood" }, base::Rank::Deferrable, 1ms, 50 },
        };
        auto outcome = runQueue(queue, arrivals, 96, 20ms, 20s);
        return outcome.waitMsByRank[0].quantile(0.95);
    }

    // Returns the share of the served cost that deferrable work gets under an urgent flood.
    template<typename Queue>
    double baselineDeferrableShare()
    {
        Queue queue;
        std::vector<ArrivalStream> arrivals {
            { { "flood" }, base::Rank::Urgent, 1ms, 50 },
            { { "other" }, base::Rank::Deferrable, 50ms, 50 },
        };
        auto outcome = runQueue(queue, arrivals, 96, 20ms, 20s);
        return outcome.servedCost[2] / (outcome.servedCost[0] + outcome.servedCost[2]);
    }

    void benchSize(FigureReporter& figures, const FloodSize& size)
    {
        static constexpr double urgentTargetMs = 1500;
        static constexpr double maxUrgentRatio = 1.1;
        static constexpr double minFloorShare = 0.95;
        auto name = "flood." + std::string(size.name);
        auto capacity = size.engines * slotsPerWorker;
        auto baseline = runFlood(size, { capacity / 5, 0, 0 }, 15);
        auto flooded = runFlood(size, { capacity / 5, 0, capacity * 10 }, 15);
        auto baselineP95 = baseline.urgentFirstTokenMs.quantile(0.95);
        auto floodedP95 = flooded.urgentFirstTokenMs.quantile(0.95);
        figures.add(name + ".urgent.first_token_ms.p95", floodedP95, "ms", urgentTargetMs, BoundDirection::AtMost);
        figures.addUnbounded(name + ".urgent.calm.first_token_ms.p95", baselineP95, "ms");
        figures.add(name + ".urgent.first_token_ratio", floodedP95 / baselineP95, "ratio", maxUrgentRatio, BoundDirection::AtMost);
        // Floods with urgent requests, while each other rank requests the full capacity too.
        auto urgentFlood = runFlood(size, { capacity * 10, capacity, capacity }, 15);
        double total = 0;
        for (auto tokens : urgentFlood.tokens)
            total += static_cast<double>(tokens);
        static constexpr double standardFloor = 0.15;
        static constexpr double deferrableFloor = 0.05;
        figures.add(name + ".standard.floor_kept", static_cast<double>(urgentFlood.tokens[1]) / total / standardFloor, "ratio", minFloorShare, BoundDirection::AtLeast);
        figures.add(name + ".deferrable.floor_kept", static_cast<double>(urgentFlood.tokens[2]) / total / deferrableFloor, "ratio", minFloorShare, BoundDirection::AtLeast);
    }

} // namespace

void benchFlood(FigureReporter& figures)
{
    benchSize(figures, { "pressun", 3, 7 });
    benchSize(figures, { "studsbok", 3, 12 });
    figures.addUnbounded("flood.queue.fair.urgent_wait_ms.p95", baselineUrgentWait<schedule::FairQueue>(), "ms");
    figures.addUnbounded("flood.queue.fifo.urgent_wait_ms.p95", baselineUrgentWait<FifoQueue>(), "ms");
    figures.addUnbounded("flood.queue.strict.urgent_wait_ms.p95", baselineUrgentWait<PriorityQueue>(), "ms");
    figures.addUnbounded("flood.queue.round_robin.urgent_wait_ms.p95", baselineUrgentWait<RoundRobinQueue>(), "ms");
    figures.addUnbounded("flood.queue.fair.deferrable_share", baselineDeferrableShare<schedule::FairQueue>(), "ratio");
    figures.addUnbounded("flood.queue.fifo.deferrable_share", baselineDeferrableShare<FifoQueue>(), "ratio");
    figures.addUnbounded("flood.queue.strict.deferrable_share", baselineDeferrableShare<PriorityQueue>(), "ratio");
    figures.addUnbounded("flood.queue.round_robin.deferrable_share", baselineDeferrableShare<RoundRobinQueue>(), "ratio");
}

} // namespace redwingseam::bench
