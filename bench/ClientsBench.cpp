#include "Benches.h"
#include "FifoQueue.h"
#include "FigureReporter.h"
#include "QueueModel.h"
#include "Samples.h"

#include <string>

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    // Returns eight small clients, with or without two large ones that send a hundred times as many requests.
    std::vector<ArrivalStream> makeArrivals(bool hasLarge)
    {
        std::vector<ArrivalStream> arrivals;
        arrivals.reserve(10);
        for (int i = 0; i < 8; ++i)
            arrivals.push_back({ { "small-" + std::to_string(i) }, base::Rank::Standard, 1000ms, 50 });
        if (!hasLarge)
            return arrivals;
        for (int i = 0; i < 2; ++i)
            arrivals.push_back({ { "large-" + std::to_string(i) }, base::Rank::Standard, 10ms, 50 });
        return arrivals;
    }

    template<typename Queue>
    QueueOutcome runClients(bool hasLarge)
    {
        Queue queue;
        return runQueue(queue, makeArrivals(hasLarge), 64, 20ms, 60s);
    }

    // Returns the time to first token of a small client: its time in the queue and the generation of the
    // first token.
    double smallClientWaitP95(QueueOutcome& outcome)
    {
        static constexpr double firstTokenMs = 100;
        Samples all;
        for (auto& [client, samples] : outcome.waitMs) {
            if (client.text.starts_with("small"))
                all.add(samples.quantile(0.95));
        }
        return all.quantile(0.95) + firstTokenMs;
    }

    double smallClientJainIndex(const QueueOutcome& outcome)
    {
        Samples served;
        for (const auto& [client, cost] : outcome.servedByClient) {
            if (client.text.starts_with("small"))
                served.add(cost);
        }
        return served.jainIndex();
    }

} // namespace

void benchClients(FigureReporter& figures)
{
    static constexpr double maxRatio = 1.2;
    static constexpr double minJain = 0.95;
    auto alone = runClients<schedule::FairQueue>(false);
    auto crowded = runClients<schedule::FairQueue>(true);
    auto fifo = runClients<FifoQueue>(true);
    figures.add("clients.small.wait_ratio.p95", smallClientWaitP95(crowded) / smallClientWaitP95(alone), "ratio", maxRatio, BoundDirection::AtMost);
    figures.addUnbounded("clients.fifo.small.wait_ratio.p95", smallClientWaitP95(fifo) / smallClientWaitP95(alone), "ratio");
    figures.add("clients.jain", smallClientJainIndex(crowded), "index", minJain, BoundDirection::AtLeast);
    figures.addUnbounded("clients.fifo.jain", smallClientJainIndex(fifo), "index");
}

} // namespace redwingseam::bench
