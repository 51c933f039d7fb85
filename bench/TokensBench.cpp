#include "Benches.h"
#include "FigureReporter.h"
#include "fakes/FaultSchedule.h"

#include <map>
#include <string>

namespace redwingseam::bench {

using namespace std::chrono_literals;

// Runs short generations under every kind of fault and checks each token.
static void runGenerations(FigureReporter& figures, uint64_t wantedGenerations)
{
    static constexpr size_t requestsPerRound = 40;
    uint64_t generations = 0;
    uint64_t wrong = 0;
    uint64_t cutShort = 0;
    uint64_t refused = 0;
    std::map<base::ResultCode, uint64_t> refusals;
    for (uint64_t seed = 1; generations < wantedGenerations; ++seed) {
        fakes::ClusterOptions options { .seed = seed, .nodes = 3, .dataCentres = 3, .repeatedTokensPermille = 5 };
        fakes::Deployment<> deployment(options, 4);
        auto& cluster = deployment.cluster;
        for (size_t round = 0; round < 100; ++round) {
            for (size_t i = 0; i < requestsPerRound; ++i)
                cluster.call(i % 3, fakes::generationRequest("p" + std::to_string(round * requestsPerRound + i), 6));
            cluster.runFor(600ms);
            fakes::toggleFault(deployment, options, static_cast<uint32_t>(cluster.random().next()));
            if (round % 10 == 9)
                fakes::clearFaults(deployment, options);
        }
        fakes::clearFaults(deployment, options);
        cluster.runFor(90s);
        generations += cluster.callers().size();
        for (const auto& caller : cluster.callers()) {
            wrong += caller.wrongTokens;
            cutShort += caller.finish && caller.received.size() != caller.request.maxTokens ? 1 : 0;
            refused += caller.refusal ? 1 : 0;
            if (caller.refusal)
                ++refusals[caller.refusal->error.code];
        }
    }
    figures.addUnbounded("tokens.generations", static_cast<double>(generations), "generations");
    figures.add("tokens.wrong", static_cast<double>(wrong), "tokens", 0, BoundDirection::AtMost);
    figures.add("tokens.cut_short", static_cast<double>(cutShort), "answers", 0, BoundDirection::AtMost);
    for (const auto& [code, count] : refusals)
        figures.addUnbounded("tokens.refused." + std::string(base::nameOf(code)), static_cast<double>(count), "requests");
    figures.addUnbounded("tokens.refused_ratio", static_cast<double>(refused) / static_cast<double>(generations), "ratio");
}

void benchTokens5k(FigureReporter& figures)
{
    runGenerations(figures, 5'000);
}

void benchTokens100k(FigureReporter& figures)
{
    runGenerations(figures, 100'000);
}

} // namespace redwingseam::bench
