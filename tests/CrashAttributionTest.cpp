#include "route/CrashAttribution.h"
#include "PropertyCheck.h"
#include "fakes/Deployment.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

namespace {

struct IsolationOutcome {
    uint64_t enginesLost = 0;
    uint32_t unrelatedRefusals = 0;
    uint32_t unrelatedUnanswered = 0;
    bool isCrashingRequestRefused = false;
};

// Sends a request that crashes every engine among other requests that do not, and sends it again through
// other nodes after each refusal. At the time `unrelatedCrash` one engine crashes for an unrelated reason.
IsolationOutcome runCrashingRequest(uint64_t seed, size_t nodes, std::optional<base::Duration> unrelatedCrash)
{
    fakes::ClusterOptions options { .seed = seed, .nodes = nodes };
    fakes::Deployment<> deployment(options, 6);
    auto& cluster = deployment.cluster;
    cluster.setCrashingPrompt("deadly");
    std::vector<size_t> unrelatedCalls;
    for (size_t i = 0; i < 10; ++i)
        unrelatedCalls.push_back(cluster.call(i % nodes, fakes::generationRequest("innocent " + std::to_string(i), 150)));
    cluster.runFor(500ms);
    std::vector<size_t> crashing;
    crashing.push_back(cluster.call(0, fakes::generationRequest("deadly", 100)));
    auto unrelatedEngine = cluster.random().below(deployment.engines.size());
    for (size_t step = 0; step < 400; ++step) {
        cluster.runFor(100ms);
        bool isTime = unrelatedCrash && *unrelatedCrash >= step * 100ms && *unrelatedCrash < (step + 1) * 100ms;
        if (isTime && cluster.upstreams()[deployment.engines[unrelatedEngine]].isAlive)
            cluster.killUpstream(deployment.engines[unrelatedEngine]);
        // The caller retries after each refusal.
        if (cluster.callers()[crashing.back()].refusal && crashing.size() < 10)
            crashing.push_back(cluster.call(crashing.size() % nodes, fakes::generationRequest("deadly", 100)));
        for (auto engine : deployment.engines) {
            if (step % 20 == 19 && !cluster.upstreams()[engine].isAlive)
                cluster.restartUpstream(engine);
        }
    }
    IsolationOutcome outcome;
    for (auto engine : deployment.engines)
        outcome.enginesLost += cluster.upstreams()[engine].crashes;
    for (auto index : unrelatedCalls) {
        outcome.unrelatedRefusals += cluster.callers()[index].refusal ? 1 : 0;
        outcome.unrelatedUnanswered += cluster.callers()[index].isOver() ? 0 : 1;
    }
    outcome.isCrashingRequestRefused = cluster.callers()[crashing.front()].refusal && cluster.callers()[crashing.front()].refusal->error.code == base::ResultCode::HarmfulRequest;
    return outcome;
}

} // namespace

TEST_GROUP(CrashAttribution) {};

TEST(CrashAttribution, CrashingRequestCrashesAtMostTwoEngines)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        auto outcome = runCrashingRequest(seed, 3, std::nullopt);
        CHECK_TRUE(outcome.enginesLost <= 2);
        CHECK_TRUE(outcome.isCrashingRequestRefused);
        LONGS_EQUAL(0, outcome.unrelatedRefusals);
        LONGS_EQUAL(0, outcome.unrelatedUnanswered);
    }
}

TEST(CrashAttribution, UnrelatedCrashDoesNotQuarantineOtherRequests)
{
    CHECK_PROPERTY("an engine crashes by chance at any time around the crashing request", [](uint16_t seed, uint16_t at) {
        auto outcome = runCrashingRequest(seed, 3, std::chrono::milliseconds(at % 4000));
        RC_ASSERT(outcome.enginesLost <= 3U);
        RC_ASSERT(outcome.unrelatedRefusals == 0U);
        RC_ASSERT(outcome.unrelatedUnanswered == 0U);
    });
}

TEST(CrashAttribution, QuarantineClearsOtherSuspectsOfItsCrashes)
{
    route::CrashAttribution attribution;
    base::Instant now;
    std::vector<route::InterruptedRequest> first { { { 1 }, false }, { { 2 }, true }, { { 3 }, true } };
    attribution.recordCrash({ { "a" }, 1 }, first, now);
    CHECK_TRUE(attribution.attributeCrashes(now + 1s).empty());
    CHECK_TRUE(attribution.quarantineState({ 2 }) == route::QuarantineState::Suspected);
    std::vector<route::InterruptedRequest> second { { { 1 }, false }, { { 9 }, true } };
    attribution.recordCrash({ { "b" }, 1 }, second, now + 2s);
    CHECK_TRUE(attribution.attributeCrashes(now + 2s).empty());
    LONGS_EQUAL(1, attribution.attributeCrashes(now + 3s).size());
    CHECK_TRUE(attribution.quarantineState({ 1 }) == route::QuarantineState::Quarantined);
    CHECK_TRUE(attribution.quarantineState({ 2 }) == route::QuarantineState::Clear);
    CHECK_TRUE(attribution.quarantineState({ 9 }) == route::QuarantineState::Clear);
}

TEST(CrashAttribution, SuspectsOfTwoNodesInOneCrashAreNotQuarantined)
{
    route::CrashAttribution attribution;
    base::Instant now;
    std::vector<route::InterruptedRequest> own { { { 1 }, false } };
    attribution.recordCrash({ { "a" }, 1 }, own, now);
    attribution.applyReport({ { 2 }, false, false, false, { { { "a" }, 1 } } }, now);
    attribution.recordCrash({ { "b" }, 1 }, own, now + 1s);
    attribution.applyReport({ { 2 }, false, true, false, { { { "b" }, 1 } } }, now + 1s);
    CHECK_TRUE(attribution.attributeCrashes(now + 2s).empty());
    CHECK_TRUE(attribution.quarantineState({ 1 }) == route::QuarantineState::Suspected);
}

TEST(CrashAttribution, SuspectClearedByAnotherNodeDoesNotHideTheCrashingOne)
{
    route::CrashAttribution attribution;
    base::Instant now;
    std::vector<route::InterruptedRequest> own { { { 1 }, false, false } };
    // The first crash interrupts this node's crashing request and another node's harmless one.
    attribution.recordCrash({ { "a" }, 1 }, own, now);
    attribution.applyReport({ { 2 }, false, false, true, { { { "a" }, 1 } } }, now);
    // The other node has seen the harmless request make progress, and says so at the second crash.
    attribution.recordCrash({ { "b" }, 1 }, own, now + 1s);
    attribution.applyReport({ { 2 }, false, false, true, { { { "b" }, 1 } } }, now + 1s);
    LONGS_EQUAL(1, attribution.attributeCrashes(now + 2s).size());
    CHECK_TRUE(attribution.quarantineState({ 1 }) == route::QuarantineState::Quarantined);
}

TEST(CrashAttribution, RepeatedCrashOfOneIncarnationQuarantinesNoRequest)
{
    // An engine that refused connections was counted as crashed each time, and 1,992 of 2,000 equal requests
    // were refused as harmful.
    route::CrashAttribution attribution;
    base::Instant now;
    std::vector<route::InterruptedRequest> own { { { 1 }, false, false } };
    attribution.recordCrash({ { "a" }, 1 }, own, now);
    CHECK_TRUE(attribution.attributeCrashes(now + 1s).empty());
    attribution.recordCrash({ { "a" }, 1 }, own, now + 2s);
    CHECK_TRUE(attribution.attributeCrashes(now + 4s).empty());
    CHECK_TRUE(attribution.quarantineState({ 1 }) == route::QuarantineState::Suspected);
}
