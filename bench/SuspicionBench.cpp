#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "fakes/Deployment.h"

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    struct CurvePoint {
        double tokenGapP95Ms = 0;
        double wastedDecodeRatio = 0;
        double wastedPrefillRatio = 0;
    };

    // Runs engines whose tokens stall occasionally, two of which freeze permanently. Measures, for one
    // lower bound of the suspicion timeout, the longest token gap of callers against the duplicated work.
    CurvePoint measureFloor(int64_t floorMs, int64_t ceilingMs)
    {
        fakes::ClusterOptions options { .seed = 52, .nodes = 3 };
        fakes::Deployment<> deployment(options, 6);
        auto& cluster = deployment.cluster;
        fakes::editBranch(cluster, "/", "{\"suspicion_floor_ms\":" + std::to_string(floorMs) + ",\"suspicion_ceiling_ms\":" + std::to_string(ceilingMs) + "}");
        cluster.runFor(5s);
        for (auto engine : deployment.engines)
            cluster.upstreams()[engine].stallPermille = 20;
        static constexpr size_t streams = 24;
        for (size_t i = 0; i < streams; ++i)
            cluster.call(i % 3, fakes::generationRequest(std::string(2000, 's') + std::to_string(i), 800));
        std::vector<bool> wasFrozen(streams, false);
        for (size_t round = 0; round < 2; ++round) {
            cluster.runFor(4s);
            auto engine = deployment.engines[round];
            for (const auto& [key, attempt] : cluster.upstreams()[engine].attempts) {
                for (size_t caller = 0; caller < streams; ++caller)
                    wasFrozen[caller] = wasFrozen[caller] || cluster.callers()[caller].request.id == key.request;
            }
            cluster.freezeUpstream(engine);
        }
        cluster.runFor(200s);
        Samples tokenGaps;
        uint64_t delivered = 0;
        for (size_t caller = 0; caller < streams; ++caller) {
            delivered += cluster.callers()[caller].received.size();
            if (wasFrozen[caller])
                tokenGaps.add(static_cast<double>(cluster.callers()[caller].longestTokenGap.count()) / 1000);
        }
        auto deliveredTokens = static_cast<double>(delivered);
        auto firstPrefill = static_cast<double>(streams) * 2000 / 4;
        return { tokenGaps.quantile(0.95), (static_cast<double>(cluster.decodedTokens()) - deliveredTokens) / deliveredTokens, (static_cast<double>(cluster.prefilledTokens()) - firstPrefill) / deliveredTokens };
    }

} // namespace

void benchSuspicion(FigureReporter& figures)
{
    for (int64_t floorMs : { 50, 100, 200, 400, 800, 1600, 3000 }) {
        auto point = measureFloor(floorMs, std::max<int64_t>(floorMs, 3000));
        auto name = "suspicion.floor_" + std::to_string(floorMs);
        figures.addUnbounded(name + ".silence_ms.p95", point.tokenGapP95Ms, "ms");
        figures.addUnbounded(name + ".wasted_decode_ratio", point.wastedDecodeRatio, "ratio");
        figures.addUnbounded(name + ".wasted_prefill_ratio", point.wastedPrefillRatio, "ratio");
    }
    auto disabled = measureFloor(60'000, 60'000);
    figures.addUnbounded("suspicion.never.silence_ms.p95", disabled.tokenGapP95Ms, "ms");
}

} // namespace redwingseam::bench
