#include "PropertyCheck.h"
#include "fakes/FaultSchedule.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

namespace {

// Faulty rules: grant every claim.
struct GrantsAlways {
    static bool isGranted(const claim::ClaimRecord&, uint64_t) { return true; }
    static bool mayRetryLostCall(bool isIdempotent) { return isIdempotent; }
};

// Faulty rules: send a call whose outcome is unknown again.
struct RetriesLostCalls {
    static bool isGranted(const claim::ClaimRecord& record, uint64_t holder) { return claim::DefaultClaimRules::isGranted(record, holder); }
    static bool mayRetryLostCall(bool) { return true; }
};

struct GrantingRules : node::DefaultRules {
    using ClaimRules = GrantsAlways;
};

struct RetryingRules : node::DefaultRules {
    using ClaimRules = RetriesLostCalls;
};

// A word that ends the fault LoseStoreReplies: the target, word / 7, is 8, and targets from 8 to 15 end a fault.
constexpr uint32_t endOfInactiveFault = static_cast<uint32_t>(fakes::Fault::LoseStoreReplies) + 7 * 8;

struct ClaimOutcome {
    uint32_t doubleRuns = 0;
    uint32_t falseRefusals = 0;
    uint32_t unanswered = 0;
    uint32_t finished = 0;
    uint32_t wrongAnswers = 0;
};

// Sends each key through several nodes at once and again later, while faults start and end.
template<typename Policies>
ClaimOutcome runClaimedCalls(const fakes::ClusterOptions& options, const std::vector<uint32_t>& faults, uint32_t lostServiceAnswersPermille)
{
    fakes::Deployment<Policies> deployment(options);
    auto& cluster = deployment.cluster;
    cluster.setServiceReplyLoss(lostServiceAnswersPermille);
    std::map<std::string, std::vector<size_t>> callersOf;
    auto send = [&](uint32_t key, size_t node) {
        auto text = "key-" + std::to_string(key);
        callersOf[text].push_back(cluster.call(node % options.nodes, fakes::bookingRequest(text)));
    };
    uint32_t round = 0;
    for (auto word : faults) {
        send(round, word);
        send(round, word + 1);
        if (round)
            send(round - 1, word + 2);
        cluster.runFor(400ms);
        fakes::toggleFault(deployment, options, word);
        ++round;
    }
    fakes::clearFaults(deployment, options);
    for (uint32_t key = 0; key <= round; ++key)
        send(key, key);
    cluster.runFor(60s);
    ClaimOutcome outcome;
    for (const auto& [key, runs] : cluster.serviceExecutions())
        outcome.doubleRuns += runs > 1 ? 1 : 0;
    for (const auto& [key, callers] : callersOf) {
        bool isFalseRefusal = false;
        for (auto index : callers) {
            const auto& caller = cluster.callers()[index];
            outcome.unanswered += caller.isOver() ? 0 : 1;
            outcome.finished += caller.finish ? 1 : 0;
            outcome.wrongAnswers += caller.finish && caller.finish->answer.body != "run 1" ? 1 : 0;
        }
        bool hasRun = cluster.serviceExecutions().contains(key);
        bool areAllNotRun = std::all_of(callers.begin(), callers.end(), [&](size_t index) {
            const auto& refusal = cluster.callers()[index].refusal;
            return refusal && refusal->runState == node::RunState::NotRun;
        });
        isFalseRefusal = hasRun && areAllNotRun;
        outcome.falseRefusals += isFalseRefusal ? 1 : 0;
    }
    return outcome;
}

} // namespace

TEST_GROUP(ClaimFaults) {};

TEST(ClaimFaults, EachKeyRunsAtMostOnce)
{
    CHECK_PROPERTY("crashes, pauses, outages, lost answers, network partitions, the same key at several VMs", [](const std::vector<uint32_t>& faults) {
        fakes::ClusterOptions options { .seed = 21, .nodes = 4, .dataCentres = 2, .lostMessagesPermille = 50 };
        auto outcome = runClaimedCalls<node::DefaultRules>(options, faults, 50);
        RC_ASSERT(outcome.doubleRuns == 0U);
        RC_ASSERT(outcome.falseRefusals == 0U);
        RC_ASSERT(outcome.unanswered == 0U);
        RC_ASSERT(outcome.wrongAnswers == 0U);
    });
}

TEST(ClaimFaults, WithoutFaultsEveryCallerGetsTheSameOutcome)
{
    fakes::ClusterOptions options { .seed = 22, .nodes = 4, .dataCentres = 2 };
    // Each round ends a fault that is not active, so nothing happens.
    std::vector<uint32_t> rounds(6, endOfInactiveFault);
    auto outcome = runClaimedCalls<node::DefaultRules>(options, rounds, 0);
    LONGS_EQUAL(0, outcome.doubleRuns);
    LONGS_EQUAL(0, outcome.unanswered);
    LONGS_EQUAL(2 * 6 + 5 + 7, outcome.finished);
}

TEST(ClaimFaults, PropertyDetectsGrantsToEveryone)
{
    fakes::ClusterOptions options { .seed = 22, .nodes = 4, .dataCentres = 2 };
    std::vector<uint32_t> rounds(6, endOfInactiveFault);
    CHECK_TRUE(runClaimedCalls<GrantingRules>(options, rounds, 0).doubleRuns > 0);
}

TEST(ClaimFaults, PropertyDetectsRetriedCalls)
{
    fakes::ClusterOptions options { .seed = 22, .nodes = 4, .dataCentres = 2 };
    std::vector<uint32_t> rounds(12, endOfInactiveFault);
    CHECK_TRUE(runClaimedCalls<RetryingRules>(options, rounds, 300).doubleRuns > 0);
}

TEST(ClaimFaults, RefusedWhileTheStoreIsDownAndRunOnceAfterwards)
{
    fakes::ClusterOptions options { .seed = 23, .nodes = 3 };
    fakes::Deployment<> deployment(options);
    auto& cluster = deployment.cluster;
    cluster.setStoreDown(true);
    auto first = cluster.call(0, fakes::bookingRequest("k"));
    cluster.runFor(15s);
    CHECK_TRUE(cluster.callers()[first].refusal.has_value());
    CHECK_TRUE(cluster.callers()[first].refusal->runState == node::RunState::NotRun);
    CHECK_TRUE(cluster.serviceExecutions().empty());
    cluster.setStoreDown(false);
    auto second = cluster.call(1, fakes::bookingRequest("k"));
    cluster.runFor(15s);
    CHECK_TRUE(cluster.callers()[second].finish.has_value());
    LONGS_EQUAL(1, cluster.serviceExecutions().at("k"));
}

TEST(ClaimFaults, LookupsAreNeverDropped)
{
    fakes::ClusterOptions options { .seed = 24, .nodes = 2 };
    fakes::Deployment<> deployment(options);
    auto& cluster = deployment.cluster;
    cluster.setServiceReplyLoss(300);
    for (size_t i = 0; i < 50; ++i)
        cluster.call(i % 2, fakes::lookupRequest());
    cluster.runFor(60s);
    for (const auto& caller : cluster.callers())
        CHECK_TRUE(caller.finish.has_value());
}
