#include "fakes/PlainFloodRun.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace redwingseam;
using fakes::PlainFloodRun;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Replays floods of plain requests beyond what their upstreams can run.
TEST_GROUP(PlainFlood)
{
    static constexpr double flood = 1.6 * PlainFloodRun::capacity;
};

TEST(PlainFlood, FullUpstreamsAreNotAskedByEveryNodeForEveryRequest)
{
    PlainFloodRun run;
    run.run(seconds(6), flood);
    // Each request went to three upstreams or more on average.
    CHECK_TRUE_TEXT(run.arrivals * 10 <= run.requests.size() * 13, (std::to_string(run.arrivals) + " for " + std::to_string(run.requests.size())).c_str());
}

TEST(PlainFlood, UpstreamsStayBusyInAFlood)
{
    PlainFloodRun run;
    run.run(seconds(2), flood);
    auto from = run.now();
    run.run(seconds(4), flood);
    auto answered = run.answeredBetween(from, run.now());
    CHECK_TRUE_TEXT(static_cast<double>(answered) >= 0.95 * 4 * PlainFloodRun::capacity, std::to_string(answered).c_str());
}

TEST(PlainFlood, NothingIsRefusedWhileThereIsRoom)
{
    PlainFloodRun run;
    run.run(seconds(5), 0.7 * PlainFloodRun::capacity);
    LONGS_EQUAL(0, run.refusedOfThoseSince({}));
}

TEST(PlainFlood, RequestsAreAcceptedAgainSoonAfterAFlood)
{
    PlainFloodRun run;
    run.run(seconds(6), flood);
    run.run(seconds(2), 0.5 * PlainFloodRun::capacity);
    auto from = run.now();
    run.run(seconds(3), 0.5 * PlainFloodRun::capacity);
    LONGS_EQUAL(0, run.refusedOfThoseSince(from));
}

TEST(PlainFlood, RefusalsAreAtOnceAndTheirReturnsSpreadWithinWhatClientsHonour)
{
    PlainFloodRun run;
    run.run(seconds(6), flood);
    std::set<base::Duration> returns;
    for (const auto& request : run.requests) {
        if (request.refusedAt == base::Instant {})
            continue;
        returns.insert(request.retryAfter);
        CHECK_TRUE(request.refusedAt - request.arrivedAt <= milliseconds(50));
        // The route's timeout is 1,200 ms, and clients honour at most a third of what they have left.
        CHECK_TRUE(request.retryAfter <= milliseconds(400));
    }
    CHECK_TRUE(returns.size() > 50);
}

TEST(PlainFlood, UpstreamThatRefusesEverythingIsNoFlood)
{
    PlainFloodRun run;
    run.upstreams[{ "d3" }].refusesAll = true;
    run.run(seconds(5), 0.5 * PlainFloodRun::capacity);
    auto refused = run.refusedOfThoseSince({});
    CHECK_TRUE_TEXT(refused * 100 <= run.requests.size(), (std::to_string(refused) + " of " + std::to_string(run.requests.size())).c_str());
}

TEST(PlainFlood, NodesWithoutTheSettingAskAsBefore)
{
    PlainFloodRun run(false);
    run.run(seconds(3), flood);
    for (const auto& request : run.requests)
        CHECK_TRUE(request.refusedAt == base::Instant {} || request.refusedAt > request.arrivedAt);
}
