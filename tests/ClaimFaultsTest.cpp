#include "PropertyCheck.h"
#include "fakes/FaultSchedule.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

namespace {

// Mutation: grants every claim.
struct GrantsAlways {
    static bool isGranted(const claim::ClaimRecord&, uint64_t) { return true; }
    static bool mayRetryLostCall(bool isIdempotent) { return isIdempotent; }
};

// Mutation: sends a call whose outcome is unknown again.
struct RetriesLostCalls {
    static bool isGranted(const claim::ClaimRecord& record, uint64_t holder) { return claim::ClaimPolicy::isGranted(record, holder); }
    static bool mayRetryLostCall(bool) { return true; }
};

struct GrantingPolicies : node::DefaultRules {
    using ClaimRules = GrantsAlways;
};

struct RetryingPolicies : node::DefaultRules {
    using ClaimRules = RetriesLostCalls;
};

struct ClaimOutcome {
    uint32_t doubleRuns = 0;
    uint32_t falseRefusals = 0;
    uint32_t unanswered = 0;
    uint32_t finished = 0;
    uint32_t foreignAnswers = 0;
};

// Sends each key through several nodes at once and again later, while faults start and end.
template<typename Policies>
ClaimOutcome runBookings(const fakes::WorldOptions& options, const std::vector<uint32_t>& faults, uint32_t lostServiceAnswersPermille)
{
    fakes::Deployment<Policies> deployment(options);
    auto& world = deployment.world;
    world.setLosesServiceAnswers(lostServiceAnswersPermille);
    std::map<std::string, std::vector<size_t>> callersOf;
    auto send = [&](uint32_t key, size_t node) {
        auto text = "key-" + std::to_string(key);
        callersOf[text].push_back(world.call(node % options.nodes, fakes::booking(text)));
    };
    uint32_t round = 0;
    for (auto word : faults) {
        send(round, word);
        send(round, word + 1);
        if (round)
            send(round - 1, word + 2);
        world.runFor(400ms);
        fakes::toggleFault(deployment, options, word);
        ++round;
    }
    fakes::healAll(deployment, options);
    for (uint32_t key = 0; key <= round; ++key)
        send(key, key);
    world.runFor(60s);
    ClaimOutcome outcome;
    for (const auto& [key, runs] : world.serviceRuns())
        outcome.doubleRuns += runs > 1 ? 1 : 0;
    for (const auto& [key, callers] : callersOf) {
        bool isFalseRefusal = false;
        for (auto index : callers) {
            const auto& caller = world.callers()[index];
            outcome.unanswered += caller.isOver() ? 0 : 1;
            outcome.finished += caller.finish ? 1 : 0;
            outcome.foreignAnswers += caller.finish && caller.finish->answer.body != "run 1" ? 1 : 0;
        }
        bool hasRun = world.serviceRuns().contains(key);
        bool areAllNotRun = std::all_of(callers.begin(), callers.end(), [&](size_t index) {
            const auto& refusal = world.callers()[index].refusal;
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
    CHECK_PROPERTY("crashes, pauses, outages, lost answers, cuts, the same key at several VMs", [](const std::vector<uint32_t>& faults) {
        fakes::WorldOptions options { .seed = 21, .nodes = 4, .dataCentres = 2, .lostMessagesPermille = 50 };
        auto outcome = runBookings<node::DefaultRules>(options, faults, 50);
        RC_ASSERT(outcome.doubleRuns == 0U);
        RC_ASSERT(outcome.falseRefusals == 0U);
        RC_ASSERT(outcome.unanswered == 0U);
        RC_ASSERT(outcome.foreignAnswers == 0U);
    });
}

TEST(ClaimFaults, WithoutFaultsEveryCallerGetsTheSameOutcome)
{
    fakes::WorldOptions options { .seed = 22, .nodes = 4, .dataCentres = 2 };
    // Pauses nodes that do not exist: rounds without effect.
    std::vector<uint32_t> rounds(6, static_cast<uint32_t>(fakes::Fault::LoseAnswers) + 7 * 8);
    auto outcome = runBookings<node::DefaultRules>(options, rounds, 0);
    LONGS_EQUAL(0, outcome.doubleRuns);
    LONGS_EQUAL(0, outcome.unanswered);
    LONGS_EQUAL(2 * 6 + 5 + 7, outcome.finished);
}

TEST(ClaimFaults, PropertyDetectsGrantsToEveryone)
{
    fakes::WorldOptions options { .seed = 22, .nodes = 4, .dataCentres = 2 };
    std::vector<uint32_t> rounds(6, static_cast<uint32_t>(fakes::Fault::LoseAnswers) + 7 * 8);
    CHECK_TRUE(runBookings<GrantingPolicies>(options, rounds, 0).doubleRuns > 0);
}

TEST(ClaimFaults, PropertyDetectsRetriedCalls)
{
    fakes::WorldOptions options { .seed = 22, .nodes = 4, .dataCentres = 2 };
    std::vector<uint32_t> rounds(12, static_cast<uint32_t>(fakes::Fault::LoseAnswers) + 7 * 8);
    CHECK_TRUE(runBookings<RetryingPolicies>(options, rounds, 300).doubleRuns > 0);
}

TEST(ClaimFaults, RefusedWhileTheStoreIsDownAndRunOnceAfterwards)
{
    fakes::WorldOptions options { .seed = 23, .nodes = 3 };
    fakes::Deployment<> deployment(options);
    auto& world = deployment.world;
    world.setStoreDown(true);
    auto first = world.call(0, fakes::booking("k"));
    world.runFor(15s);
    CHECK_TRUE(world.callers()[first].refusal.has_value());
    CHECK_TRUE(world.callers()[first].refusal->runState == node::RunState::NotRun);
    CHECK_TRUE(world.serviceRuns().empty());
    world.setStoreDown(false);
    auto second = world.call(1, fakes::booking("k"));
    world.runFor(15s);
    CHECK_TRUE(world.callers()[second].finish.has_value());
    LONGS_EQUAL(1, world.serviceRuns().at("k"));
}

TEST(ClaimFaults, LookupsAreNeverDropped)
{
    fakes::WorldOptions options { .seed = 24, .nodes = 2 };
    fakes::Deployment<> deployment(options);
    auto& world = deployment.world;
    world.setLosesServiceAnswers(300);
    for (size_t i = 0; i < 50; ++i)
        world.call(i % 2, fakes::lookup());
    world.runFor(60s);
    for (const auto& caller : world.callers())
        CHECK_TRUE(caller.finish.has_value());
}
