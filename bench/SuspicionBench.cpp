#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "fakes/Deployment.h"

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    struct CurvePoint {
        double silenceP95Ms = 0;
        double wastedDecodeRatio = 0;
        double wastedPrefillRatio = 0;
    };

    // Engines whose tokens stall now and then, and some that freeze for good: silence that callers see,
    // against work done twice, for one floor of the suspicion time.
    CurvePoint runFloor(int64_t floorMs, int64_t ceilingMs)
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
        std::vector<bool> wasHit(streams, false);
        for (size_t round = 0; round < 2; ++round) {
            cluster.runFor(4s);
            auto engine = deployment.engines[round];
            for (const auto& [key, attempt] : cluster.upstreams()[engine].attempts) {
                for (size_t caller = 0; caller < streams; ++caller)
                    wasHit[caller] = wasHit[caller] || cluster.callers()[caller].request.id == key.request;
            }
            cluster.freezeUpstream(engine);
        }
        cluster.runFor(200s);
        Samples silence;
        uint64_t delivered = 0;
        for (size_t caller = 0; caller < streams; ++caller) {
            delivered += cluster.callers()[caller].received.size();
            if (wasHit[caller])
                silence.add(static_cast<double>(cluster.callers()[caller].longestTokenGap.count()) / 1000);
        }
        auto answers = static_cast<double>(delivered);
        auto firstPrefill = static_cast<double>(streams) * 2000 / 4;
        return { silence.quantile(0.95), (static_cast<double>(cluster.decodedTokens()) - answers) / answers, (static_cast<double>(cluster.prefilledTokens()) - firstPrefill) / answers };
    }

} // namespace

void benchSuspicion(FigureReporter& figures)
{
    for (int64_t floorMs : { 50, 100, 200, 400, 800, 1600, 3000 }) {
        auto point = runFloor(floorMs, std::max<int64_t>(floorMs, 3000));
        auto name = "suspicion.floor_" + std::to_string(floorMs);
        figures.addUnbounded(name + ".silence_ms.p95", point.silenceP95Ms, "ms");
        figures.addUnbounded(name + ".wasted_decode_ratio", point.wastedDecodeRatio, "ratio");
        figures.addUnbounded(name + ".wasted_prefill_ratio", point.wastedPrefillRatio, "ratio");
    }
    auto never = runFloor(60'000, 60'000);
    figures.addUnbounded("suspicion.never.silence_ms.p95", never.silenceP95Ms, "ms");
}

} // namespace redwingseam::bench
