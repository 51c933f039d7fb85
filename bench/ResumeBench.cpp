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
        Samples tokenGaps;
        double extraDecode = 0;
        double extraPrefill = 0;
        double restartDecode = 0;
        double delivered = 0;
    };

    // Simulates one data centre of Pressun's current size, 3 VMs and 7 engines, with long prompts and three
    // successive losses.
    LossRun runLosses(Loss loss, bool carriesTokens)
    {
        fakes::ClusterOptions options { .seed = 51, .nodes = 3 };
        fakes::Deployment<> deployment(options, 7);
        auto& cluster = deployment.cluster;
        static constexpr size_t streams = 28;
        std::vector<uint32_t> tokensBeforeLoss(streams, 0);
        for (size_t i = 0; i < streams; ++i)
            cluster.call(i % 3, fakes::generationRequest(std::string(4000, 'd') + std::to_string(i), answerTokens), carriesTokens);
        auto recordLoss = [&](size_t caller) {
            if (!tokensBeforeLoss[caller])
                tokensBeforeLoss[caller] = static_cast<uint32_t>(cluster.callers()[caller].received.size());
        };
        for (size_t round = 0; round < 3; ++round) {
            cluster.runFor(4s);
            auto engine = deployment.engines[round * 2];
            std::vector<size_t> hit;
            for (size_t caller = 0; caller < streams; ++caller) {
                bool isAtEngine = false;
                for (const auto& [key, attempt] : cluster.upstreams()[engine].attempts)
                    isAtEngine |= key.request == cluster.callers()[caller].request.id;
                bool isAffected = loss == Loss::Engine ? isAtEngine : cluster.callers()[caller].node == round;
                if (isAffected && !cluster.callers()[caller].isOver())
                    recordLoss(caller);
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
        for (size_t caller = 0; caller < streams; ++caller) {
            const auto& state = cluster.callers()[caller];
            delivered += state.received.size();
            run.restartDecode += tokensBeforeLoss[caller];
            if (tokensBeforeLoss[caller])
                run.tokenGaps.add(static_cast<double>(state.longestTokenGap.count()) / microsPerMilli);
        }
        run.delivered = static_cast<double>(delivered);
        run.extraDecode = static_cast<double>(cluster.decodedTokens() - delivered);
        run.extraPrefill = static_cast<double>(cluster.prefilledTokens()) - static_cast<double>(streams) * 4000 / 4;
        return run;
    }

} // namespace

void benchResume(FigureReporter& figures)
{
    static constexpr double maxMs = 5000;
    auto engine = runLosses(Loss::Engine, true);
    figures.add("resume.engine_loss.latency_ms.p95", engine.tokenGaps.quantile(0.95), "ms", maxMs, BoundDirection::AtMost);
    figures.addUnbounded("resume.engine_loss.samples", static_cast<double>(engine.tokenGaps.size()), "streams");
    figures.addUnbounded("resume.extra_decode_ratio", engine.extraDecode / engine.delivered, "ratio");
    figures.addUnbounded("resume.extra_prefill_ratio", engine.extraPrefill / engine.delivered, "ratio");
    figures.addUnbounded("resume.restart_from_zero.extra_decode_ratio", engine.restartDecode / engine.delivered, "ratio");
    figures.add("resume.extra_tokens_ratio.vs_restart", engine.extraDecode / engine.restartDecode, "ratio", 1, BoundDirection::AtMost);
    auto vm = runLosses(Loss::Vm, true);
    figures.add("resume.vm_loss.latency_ms.p95", vm.tokenGaps.quantile(0.95), "ms", maxMs, BoundDirection::AtMost);
    figures.addUnbounded("resume.vm_loss.extra_decode_ratio", vm.extraDecode / vm.delivered, "ratio");
    auto withoutTokens = runLosses(Loss::Vm, false);
    figures.addUnbounded("resume.vm_loss.not_carried.latency_ms.p95", withoutTokens.tokenGaps.quantile(0.95), "ms");
    figures.addUnbounded("resume.vm_loss.not_carried.extra_decode_ratio", withoutTokens.extraDecode / withoutTokens.delivered, "ratio");
}

} // namespace redwingseam::bench
