#include "fakes/FloodRun.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace redwingseam;
using base::Rank;
using fakes::FloodRun;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Each test replays a load pattern in virtual time. 11 engines read 11 prompts a second.
TEST_GROUP(PlacementQueue)
{
    static constexpr unsigned engines = 11;

    // Returns a function that calls `arrive` `perSecond` times a second.
    template<typename Function>
    static auto rate(double perSecond, Function arrive)
    {
        return [=, owed = 0.0]() mutable {
            for (owed += perSecond * 0.02; owed >= 1; --owed)
                arrive();
        };
    }
};

TEST(PlacementQueue, NothingWaitsWhileThereIsRoom)
{
    FloodRun flood(engines);
    flood.run(seconds(10), rate(5, [&] { flood.arrive(Rank::Standard); }));
    LONGS_EQUAL(0, flood.count([](const auto& request) { return request.dispatchedAt != request.arrivedAt; }));
    LONGS_EQUAL(0, flood.count(&FloodRun::isRefused));
}

TEST(PlacementQueue, UrgentWorkKeepsItsObjectiveInAFloodOfTheLowestRank)
{
    FloodRun flood(engines);
    auto urgent = rate(2, [&] { flood.arrive(Rank::Urgent); });
    auto deferrable = rate(40, [&] { flood.arrive(Rank::Deferrable); });
    flood.run(seconds(8), [&] { urgent(), deferrable(); });
    flood.run(seconds(5), [] {});
    auto isUrgent = [](const auto& request) { return request.rank == Rank::Urgent; };
    auto onTime = flood.count([&](const auto& request) { return isUrgent(request) && FloodRun::isOnTime(request); });
    CHECK_TRUE(onTime * 100 >= flood.count(isUrgent) * 95);
}

TEST(PlacementQueue, LowestRankIsNotStarvedInAFloodOfTheHighest)
{
    FloodRun flood(engines);
    auto urgent = rate(40, [&] { flood.arrive(Rank::Urgent); });
    auto deferrable = rate(1, [&] { flood.arrive(Rank::Deferrable); });
    flood.run(seconds(30), [&] { urgent(), deferrable(); });
    auto isServed = [](const auto& request) { return request.rank == Rank::Deferrable && request.dispatchedAt != base::Instant {}; };
    // The floor of the rank is 5 % of the dispatches.
    auto dispatched = flood.count([](const auto& request) { return request.dispatchedAt != base::Instant {}; });
    CHECK_TRUE_TEXT(flood.count(isServed) * 100 >= dispatched * 4, (std::to_string(flood.count(isServed)) + " of " + std::to_string(dispatched)).c_str());
}

TEST(PlacementQueue, LongFloodOfOneRankIsServedOnTimeAsFarAsTheEnginesReach)
{
    FloodRun flood(engines);
    flood.run(seconds(15), rate(22, [&] { flood.arrive(Rank::Standard); }));
    flood.run(seconds(6), [] {});
    // The engines reach half of the requests; a quarter of the dispatches goes to late ones. In order of arrival, all
    // requests after the first seconds would be late.
    auto onTime = flood.count(&FloodRun::isOnTime);
    CHECK_TRUE_TEXT(onTime * 100 >= flood.requests.size() * 33, std::to_string(onTime).c_str());
}

TEST(PlacementQueue, SmallAccountIsServedBesideOneThatFloods)
{
    FloodRun flood(engines);
    auto large = rate(40, [&] { flood.arrive(Rank::Standard, "large"); });
    auto small = rate(1, [&] { flood.arrive(Rank::Standard, "small"); });
    flood.run(seconds(10), [&] { large(), small(); });
    flood.run(seconds(5), [] {});
    auto isSmall = [](const auto& request) { return request.client == "small"; };
    auto onTime = flood.count([&](const auto& request) { return isSmall(request) && FloodRun::isOnTime(request); });
    CHECK_TRUE(onTime * 100 >= flood.count(isSmall) * 90);
}

TEST(PlacementQueue, RequestThatCannotBeServedIsRefusedAtOnceWithATrueTimeToReturn)
{
    FloodRun flood(engines);
    flood.run(seconds(10), rate(120, [&] { flood.arrive(Rank::Standard); }));
    auto refusedAtOnce = flood.count([](const auto& request) { return FloodRun::isRefused(request) && request.refusedAt == request.arrivedAt; });
    CHECK_TRUE(refusedAtOnce > flood.requests.size() / 2);
    std::set<base::Duration> returns;
    for (const auto& request : flood.requests) {
        if (!FloodRun::isRefused(request))
            continue;
        returns.insert(request.retryAfter);
        CHECK_TRUE(request.dispatchedAt == base::Instant {});
        // Clients honour at most a third of the time that they have left.
        CHECK_TRUE_TEXT(request.retryAfter <= base::Duration(milliseconds(25000)) / 3, std::to_string(request.retryAfter.count()).c_str());
    }
    CHECK_TRUE(returns.size() > refusedAtOnce / 2);
}

TEST(PlacementQueue, BackupsLeaveTheMemoryToRequestsUnderLoad)
{
    // Replays a flood of long streams: with a backup each, half of the engines' memory would hold copies.
    fakes::FleetFixture fixture;
    fixture.addEngines();
    std::vector<std::unique_ptr<forward::Exchange>> exchanges;
    unsigned placed = 0;
    unsigned backups = 0;
    for (uint64_t i = 0; i < 200; ++i) {
        exchanges.push_back(std::make_unique<forward::Exchange>(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy));
        auto step = exchanges.back()->begin(fixture.clock.now(), i * 7919);
        if (step.kind != forward::StepKind::Send)
            continue;
        ++placed;
        backups += step.send.placement.backup.has_value();
        exchanges.back()->recordEvent(1, fixture.clock.now());
    }
    // 9 engines of 88,000 tokens; a stream needs 8,650.
    CHECK_TRUE(backups >= 18);
    CHECK_TRUE(placed >= 9 * 10 - backups - 9);
    CHECK_TRUE(placed > 60);
}

TEST(PlacementQueue, ClientThatLeavesFreesItsPlace)
{
    FloodRun flood(1);
    for (int i = 0; i < 6; ++i)
        flood.arrive(Rank::Standard);
    // Two prompts are at the engine, four wait.
    auto& waiting = flood.requests[2];
    CHECK_TRUE(waiting.exchange->isQueued());
    for (size_t i = 2; i < 5; ++i)
        flood.leave(flood.requests[i]);
    flood.run(milliseconds(1100), [] {});
    CHECK_TRUE(flood.requests[5].dispatchedAt != base::Instant {});
}

TEST(PlacementQueue, ManyNodesWithTheSameLateKnowledgeDoNotOverrunTheEngines)
{
    // Replays a large fleet in a flood: all nodes learn at the same time that a few engines have room, and nothing of
    // each other's choices for 500 ms.
    static constexpr unsigned nodeCount = 195;
    static constexpr unsigned engineCount = 100;
    static constexpr unsigned withRoom = 20;
    std::map<std::string, unsigned> arrivals;
    for (unsigned node = 0; node < nodeCount; ++node) {
        FloodRun run(engineCount);
        run.random = node * 1000003;
        run.fixture.fleet.setNodeCount(nodeCount);
        fleet::LoadMap full;
        for (unsigned i = 0; i < engineCount; ++i)
            full[{ "e" + std::to_string(i) }] = { 2, 16000, 17300 };
        run.fixture.fleet.setPeerLoads(full);
        for (int i = 0; i < 10; ++i)
            run.arrive(Rank::Standard);
        for (unsigned i = 0; i < withRoom; ++i)
            full.erase({ "e" + std::to_string(i) });
        run.fixture.fleet.setPeerLoads(full);
        run.run(milliseconds(500), [] {});
        for (const auto& entry : run.fixture.fleet.entries())
            arrivals[entry.instance.id.text] += entry.localLoad.requests;
    }
    unsigned total = 0;
    unsigned most = 0;
    for (const auto& [engine, count] : arrivals) {
        total += count;
        most = std::max(most, count);
    }
    // In 500 ms the engines read 50 prompts. Without the pause, each node sends both prompts that it may to an engine.
    CHECK_TRUE_TEXT(total <= 2 * nodeCount, std::to_string(total).c_str());
    CHECK_TRUE_TEXT(most <= 3 * total / withRoom, std::to_string(most).c_str());
}

TEST(PlacementQueue, WaitNeverOutlivesItsUse)
{
    FloodRun flood(1);
    flood.run(seconds(20), rate(3, [&] { flood.arrive(Rank::Standard); }));
    flood.run(seconds(20), [] {});
    for (const auto& request : flood.requests) {
        if (request.dispatchedAt != base::Instant {})
            CHECK_TRUE(request.dispatchedAt - request.arrivedAt <= 3 * FloodRun::objective + FloodRun::step);
        CHECK_TRUE(request.isEnded);
    }
}

TEST(PlacementQueue, ResumedStreamDoesNotWait)
{
    FloodRun flood(1);
    for (int i = 0; i < 6; ++i)
        flood.arrive(Rank::Standard);
    auto resumed = flood.fixture.makeRequest("/stream/x");
    resumed.lastEventId = 12;
    forward::Exchange exchange(resumed, flood.fixture.fleet, flood.fixture.queue, flood.fixture.crashes, flood.fixture.origins, flood.fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(flood.now(), 1).kind == forward::StepKind::Send);
}
