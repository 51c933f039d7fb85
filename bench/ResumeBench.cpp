#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "fakes/Deployment.h"

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    constexpr double microsPerMilli = 1000;
    constexpr uint32_t answerTokens = 1500;

    enum class Loss : uint8_t {
        Engine,
        Vm,
    };

    struct LossRun {
        Samples silence;
        double extraDecode = 0;
        double extraPrefill = 0;
        double restartDecode = 0;
        double delivered = 0;
    };

    // One data centre of Pressun's size of today: 3 VMs, 7 engines, long dossiers, one loss after another.
    LossRun runLosses(Loss loss, bool carriesTokens)
    {
        fakes::ClusterOptions options { .seed = 51, .nodes = 3 };
        fakes::Deployment<> deployment(options, 7);
        auto& cluster = deployment.cluster;
        static constexpr size_t dossiers = 28;
        std::vector<uint32_t> lostAt(dossiers, 0);
        for (size_t i = 0; i < dossiers; ++i)
            cluster.call(i % 3, fakes::generationRequest(std::string(4000, 'd') + std::to_string(i), answerTokens), carriesTokens);
        auto noteLoss = [&](size_t caller) {
            if (!lostAt[caller])
                lostAt[caller] = static_cast<uint32_t>(cluster.callers()[caller].received.size());
        };
        for (size_t round = 0; round < 3; ++round) {
            cluster.runFor(4s);
            auto engine = deployment.engines[round * 2];
            std::vector<size_t> hit;
            for (size_t caller = 0; caller < dossiers; ++caller) {
                bool isAtEngine = false;
                for (const auto& [key, attempt] : cluster.upstreams()[engine].attempts)
                    isAtEngine |= key.request == cluster.callers()[caller].request.id;
                bool isHit = loss == Loss::Engine ? isAtEngine : cluster.callers()[caller].node == round;
                if (isHit && !cluster.callers()[caller].isOver())
                    noteLoss(caller);
            }
            if (loss == Loss::Engine)
                cluster.killUpstream(engine);
            else
                cluster.crashNode(round);
            cluster.runFor(6s);
            if (loss == Loss::Engine)
                cluster.restartUpstream(engine);
            else
                cluster.startNode(round);
        }
        cluster.runFor(240s);
        LossRun run;
        uint64_t delivered = 0;
        for (size_t caller = 0; caller < dossiers; ++caller) {
            const auto& state = cluster.callers()[caller];
            delivered += state.received.size();
            run.restartDecode += lostAt[caller];
            if (lostAt[caller])
                run.silence.add(static_cast<double>(state.longestTokenGap.count()) / microsPerMilli);
        }
        run.delivered = static_cast<double>(delivered);
        run.extraDecode = static_cast<double>(cluster.decodedTokens() - delivered);
        run.extraPrefill = static_cast<double>(cluster.prefilledTokens()) - static_cast<double>(dossiers) * 4000 / 4;
        return run;
    }

} // namespace

void benchResume(FigureReporter& figures)
{
    static constexpr double slowestMs = 5000;
    auto engine = runLosses(Loss::Engine, true);
    figures.add("resume.engine_loss.latency_ms.p95", engine.silence.quantile(0.95), "ms", slowestMs, BoundDirection::AtMost);
    figures.addUnbounded("resume.engine_loss.samples", static_cast<double>(engine.silence.size()), "streams");
    figures.addUnbounded("resume.extra_decode_ratio", engine.extraDecode / engine.delivered, "ratio");
    figures.addUnbounded("resume.extra_prefill_ratio", engine.extraPrefill / engine.delivered, "ratio");
    figures.addUnbounded("resume.restart_from_zero.extra_decode_ratio", engine.restartDecode / engine.delivered, "ratio");
    figures.add("resume.extra_tokens_ratio.vs_restart", engine.extraDecode / engine.restartDecode, "ratio", 1, BoundDirection::AtMost);
    auto vm = runLosses(Loss::Vm, true);
    figures.add("resume.vm_loss.latency_ms.p95", vm.silence.quantile(0.95), "ms", slowestMs, BoundDirection::AtMost);
    figures.addUnbounded("resume.vm_loss.extra_decode_ratio", vm.extraDecode / vm.delivered, "ratio");
    auto bare = runLosses(Loss::Vm, false);
    figures.addUnbounded("resume.vm_loss.not_carried.latency_ms.p95", bare.silence.quantile(0.95), "ms");
    figures.addUnbounded("resume.vm_loss.not_carried.extra_decode_ratio", bare.extraDecode / bare.delivered, "ratio");
}

} // namespace redwingseam::bench
