#include "PropertyCheck.h"
#include "fakes/FaultSchedule.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

namespace {

// Faulty rules that accept duplicate tokens.
struct AcceptsDuplicates {
    static bool isEligible(uint64_t attempt, uint64_t current, uint64_t hedge) { return stream::DefaultSequencerRules::isEligible(attempt, current, hedge); }
    static bool isNext(uint32_t index, uint32_t size) { return index <= size; }
};

struct DuplicateTokenRules : node::DefaultRules {
    using SequencerRules = AcceptsDuplicates;
};

struct StreamOutcome {
    uint32_t wrongTokens = 0;
    uint32_t unanswered = 0;
    uint32_t unfinished = 0;
    uint32_t refused = 0;
};

// Runs long generations under a schedule of faults and counts wrong, missing and incomplete answers.
template<typename Rules>
StreamOutcome runStreams(const fakes::ClusterOptions& options, const std::vector<uint32_t>& faults, bool carriesTokens)
{
    fakes::Deployment<Rules> deployment(options);
    auto& cluster = deployment.cluster;
    for (size_t i = 0; i < 12; ++i)
        cluster.call(i % options.nodes, fakes::generationRequest("dossier " + std::to_string(i), static_cast<uint32_t>(40 + 40 * i)), carriesTokens);
    for (auto word : faults) {
        cluster.runFor(300ms);
        fakes::toggleFault(deployment, options, word);
    }
    fakes::clearFaults(deployment, options);
    cluster.runFor(180s);
    StreamOutcome outcome;
    for (const auto& caller : cluster.callers()) {
        outcome.wrongTokens += caller.wrongTokens;
        outcome.unanswered += caller.isOver() ? 0 : 1;
        bool isComplete = caller.finish && caller.received.size() == caller.request.maxTokens;
        outcome.unfinished += caller.finish && !isComplete ? 1 : 0;
        outcome.refused += caller.refusal ? 1 : 0;
    }
    return outcome;
}

} // namespace

TEST_GROUP(StreamFaults) {};

// Guards against incomplete answers and lost or duplicate tokens when engines of one node crash, freeze
// and return.
TEST(StreamFaults, DeliversEachTokenOnceOnOneNode)
{
    CHECK_PROPERTY("one node, engines that die, freeze and return", [](const std::vector<uint32_t>& words) {
        std::vector<uint32_t> faults;
        for (auto word : words)
            // Only KillEngine and FreezeEngine, which are the faults 0 and 1 of the 7.
            faults.push_back(word / 2 * 7 + word % 2);
        auto outcome = runStreams<node::DefaultRules>({ .seed = 11, .nodes = 1 }, faults, true);
        RC_ASSERT(outcome.wrongTokens == 0U);
        RC_ASSERT(outcome.unanswered == 0U);
        RC_ASSERT(outcome.unfinished == 0U);
    });
}

TEST(StreamFaults, DeliversEachTokenOnceOnSixNodes)
{
    CHECK_PROPERTY("six nodes in three data centres, every kind of fault", [](const std::vector<uint32_t>& faults) {
        fakes::ClusterOptions options { .seed = 12, .nodes = 6, .dataCentres = 3, .lostMessagesPermille = 20, .repeatedTokensPermille = 20 };
        auto outcome = runStreams<node::DefaultRules>(options, faults, true);
        RC_ASSERT(outcome.wrongTokens == 0U);
        RC_ASSERT(outcome.unanswered == 0U);
        RC_ASSERT(outcome.unfinished == 0U);
    });
}

// A caller that resumes without token ids gets the answer generated again. It must match what was
// delivered before.
TEST(StreamFaults, CallersWithoutTokenIdsGetTheSameAnswer)
{
    CHECK_PROPERTY("the answer is generated again and checked", [](const std::vector<uint32_t>& faults) {
        fakes::ClusterOptions options { .seed = 13, .nodes = 3, .dataCentres = 3 };
        auto outcome = runStreams<node::DefaultRules>(options, faults, false);
        RC_ASSERT(outcome.wrongTokens == 0U);
        RC_ASSERT(outcome.unanswered == 0U);
        RC_ASSERT(outcome.unfinished == 0U);
    });
}

// Shows that the properties above detect a sequencer that accepts duplicate tokens.
TEST(StreamFaults, DetectsDuplicateTokens)
{
    fakes::ClusterOptions options { .seed = 12, .nodes = 1, .repeatedTokensPermille = 20 };
    CHECK_TRUE(runStreams<node::DefaultRules>(options, {}, true).wrongTokens == 0);
    CHECK_TRUE(runStreams<DuplicateTokenRules>(options, {}, true).wrongTokens > 0);
}

TEST(StreamFaults, EngineLossCostsOneResume)
{
    fakes::ClusterOptions options { .seed = 3, .nodes = 1 };
    fakes::Deployment<> deployment(options);
    auto& cluster = deployment.cluster;
    auto caller = cluster.call(0, fakes::generationRequest("dossier", 200));
    cluster.runFor(2s);
    for (auto engine : deployment.engines) {
        if (!cluster.upstreams()[engine].attempts.empty())
            cluster.killUpstream(engine);
    }
    cluster.runFor(10s);
    CHECK_TRUE(cluster.callers()[caller].finish.has_value());
    LONGS_EQUAL(0, cluster.callers()[caller].wrongTokens);
    LONGS_EQUAL(1, cluster.callers()[caller].finish->resumes);
}

TEST(StreamFaults, MismatchedResumePointIsRefused)
{
    fakes::ClusterOptions options { .seed = 4, .nodes = 1 };
    fakes::Deployment<> deployment(options);
    auto& cluster = deployment.cluster;
    auto request = fakes::generationRequest("dossier", 20);
    request.resume = stream::ResumePoint { 5, 12345, 7, { "draft@1" } };
    // FakeCluster sets each call's resume point from its caller, so this request goes to the node directly.
    request.id = { 999'999 };
    request.resumeTokenIds = { 1, 2, 3, 4, 5 };
    cluster.node(0).handle(request);
    cluster.runFor(5s);
    CHECK_TRUE(cluster.upstreams()[deployment.engines[0]].attempts.empty());
    CHECK_TRUE(cluster.upstreams()[deployment.engines[1]].attempts.empty());
}
