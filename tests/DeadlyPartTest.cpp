#include "fakes/DeadlyPartRun.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::DeadlyPartRun;
using std::chrono::milliseconds;

TEST_GROUP(DeadlyPart) {
    // Sends a request with the deadly part and a sound one to the nodes in turn, twice a second, and returns the crashes.
    unsigned crashesIn(DeadlyPartRun & run, unsigned rounds) {
        unsigned crashes = 0;
for (unsigned i = 0; i < rounds; ++i) {
    crashes += run.send(i % 5, { DeadlyPartRun::sharedPart, DeadlyPartRun::deadlyPart }).crashes;
    run.run(milliseconds(200));
    run.send((i + 2) % 5, { DeadlyPartRun::sharedPart, { 1000 + i } });
    run.run(milliseconds(200));
}
return crashes;
}
}
;

// Upstreams kept crashing because no two of the requests were alike and only whole requests were recognised.
TEST(DeadlyPart, RequestsThatShareOnlyADeadlyPartStopReachingUpstreams)
{
    for (const char* path : { "/stream/x", "/read/x", "/book/x" }) {
        DeadlyPartRun run(path, 30);
        CHECK_TRUE_TEXT(crashesIn(run, 10) <= 5, path);
        // Later requests than a few seconds after the fifth crash do not reach upstreams, apart from rare trials.
        CHECK_TRUE_TEXT(crashesIn(run, 40) <= 3, path);
    }
}

TEST(DeadlyPart, SoundRequestsWithTheSameFirstPartAreServed)
{
    for (const char* path : { "/stream/x", "/read/x", "/book/x" }) {
        DeadlyPartRun run(path, 30);
        unsigned served = 0;
        for (unsigned i = 0; i < 30; ++i) {
            run.send(i % 5, { DeadlyPartRun::sharedPart, DeadlyPartRun::deadlyPart });
            served += run.send((i + 2) % 5, { DeadlyPartRun::sharedPart, { 1000 + i } }).isServed;
            run.run(milliseconds(400));
        }
        CHECK_TRUE_TEXT(served >= 28, path);
    }
}

TEST(DeadlyPart, RequestWithAQuarantinedPartIsRefusedAtOnceUntilTheNextTrial)
{
    DeadlyPartRun run("/stream/x", 30);
    crashesIn(run, 6);
    auto refused = run.send(1, { DeadlyPartRun::sharedPart, DeadlyPartRun::deadlyPart });
    LONGS_EQUAL(0, refused.crashes);
    CHECK_TRUE(refused.code == base::ResultCode::HarmfulRequest);
    // Clients that come back sooner would be refused again.
    CHECK_TRUE(refused.retryAfter >= std::chrono::seconds(1));
    CHECK_TRUE(refused.retryAfter <= std::chrono::seconds(60));
}

// Three crashes take down the whole service.
TEST(DeadlyPart, ServiceOfThreeUpstreamsRecovers)
{
    for (const char* path : { "/read/x", "/book/x" }) {
        DeadlyPartRun run(path, 3);
        crashesIn(run, 10);
        run.run(milliseconds(5000));
        unsigned served = 0;
        unsigned crashes = 0;
        for (unsigned i = 0; i < 10; ++i) {
            crashes += run.send(i % 5, { DeadlyPartRun::sharedPart, DeadlyPartRun::deadlyPart }).crashes;
            served += run.send(i % 5, { DeadlyPartRun::sharedPart, { 1000 + i } }).isServed;
        }
        CHECK_TRUE_TEXT(crashes <= 1, path);
        CHECK_TRUE_TEXT(served >= 9, path);
    }
}

TEST(DeadlyPart, RestartedNodeLearnsOfTheQuarantine)
{
    DeadlyPartRun run("/stream/x", 30);
    crashesIn(run, 6);
    run.addNode("a0");
    run.run(milliseconds(1500));
    auto result = run.send(5, { DeadlyPartRun::sharedPart, DeadlyPartRun::deadlyPart });
    LONGS_EQUAL(0, result.crashes);
    CHECK_TRUE(result.code == base::ResultCode::HarmfulRequest);
}

TEST(DeadlyPart, PartIsServedAgainAfterUpstreamsWereUpgraded)
{
    DeadlyPartRun run("/stream/x", 30);
    crashesIn(run, 4);
    run.isPartDeadly = false;
    unsigned served = 0;
    for (unsigned i = 0; i < 500; ++i) {
        served += run.send(i % 5, { DeadlyPartRun::sharedPart, DeadlyPartRun::deadlyPart }).isServed;
        run.run(milliseconds(1000));
    }
    CHECK_TRUE(served > 100);
}

TEST(DeadlyPart, QuarantineStopsTheRetriesOfARequestInFlight)
{
    fakes::FleetFixture fixture;
    fixture.addEngines();
    auto request = fixture.makeRequest("/stream/x");
    request.promptParts = { DeadlyPartRun::sharedPart, DeadlyPartRun::deadlyPart };
    forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto start = fixture.clock.now();
    CHECK_TRUE(exchange.begin(start, 1).kind == forward::StepKind::Send);
    forward::PartReports reports;
    for (uint64_t i = 0; i < 3; ++i)
        reports.crashes.push_back({ i + 1, { 500 + i }, { "x" + std::to_string(i) }, request.promptParts, start + milliseconds(200 * i), start + milliseconds(200 * i + 100) });
    fixture.crashes.parts.apply(reports, start);
    fixture.advance(milliseconds(1000));
    auto step = exchange.attemptEnded(forward::AttemptOutcome::LostDuringResponse, fixture.clock.now(), 1);
    CHECK_TRUE(step.kind == forward::StepKind::Fail);
}
