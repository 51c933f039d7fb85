#include "Benches.h"
#include "FigureReporter.h"
#include "fakes/Deployment.h"

#include <algorithm>

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    struct PoisonRun {
        uint64_t enginesLost = 0;
        uint64_t healthyRefusals = 0;
    };

    // Sends a request that crashes its engine among healthy ones, and sends it again through the next VM
    // after each refusal.
    PoisonRun runPoison(uint64_t seed)
    {
        fakes::ClusterOptions options { .seed = seed, .nodes = 3 };
        fakes::Deployment<> deployment(options, 8);
        auto& cluster = deployment.cluster;
        cluster.setCrashingPrompt("deadly");
        static constexpr size_t healthyRequests = 24;
        for (size_t i = 0; i < healthyRequests; ++i)
            cluster.call(i % 3, fakes::generationRequest("innocent " + std::to_string(i), 200));
        cluster.runFor(500ms);
        auto poison = cluster.call(0, fakes::generationRequest("deadly", 100));
        for (size_t sent = 1; sent < 8; ++sent) {
            cluster.runFor(3s);
            if (cluster.callers()[poison].isOver())
                poison = cluster.call(sent % 3, fakes::generationRequest("deadly", 100));
        }
        cluster.runFor(30s);
        PoisonRun run;
        for (auto engine : deployment.engines)
            run.enginesLost += cluster.upstreams()[engine].crashes;
        for (size_t i = 0; i < healthyRequests; ++i)
            run.healthyRefusals += cluster.callers()[i].refusal ? 1 : 0;
        return run;
    }

} // namespace

void benchPoison(FigureReporter& figures)
{
    PoisonRun worst;
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        auto run = runPoison(seed);
        worst.enginesLost = std::max(worst.enginesLost, run.enginesLost);
        worst.healthyRefusals += run.healthyRefusals;
    }
    figures.add("poison.engines_lost", static_cast<double>(worst.enginesLost), "engines", 2, BoundDirection::AtMost);
    figures.add("poison.innocent_refusals", static_cast<double>(worst.healthyRefusals), "requests", 0, BoundDirection::AtMost);
}

} // namespace redwingseam::bench
