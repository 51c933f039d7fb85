// The late attempt of an idempotent request is kept beside the next one until one of them has ended.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;

TEST_GROUP(KeptRead)
{
    static constexpr milliseconds tickInterval { 20 };

    fakes::FleetFixture fixture;
    std::unique_ptr<forward::Exchange> exchange;
    fleet::UpstreamInstance first;

    base::Instant now() const { return fixture.clock.now(); }

    void begin(unsigned maxAttempts, const std::string& otherVersion = {})
    {
        auto manifest = fakes::FleetFixture::makeManifest();
        for (auto& route : manifest.routes)
            route.maxAttempts = maxAttempts;
        fixture.index = std::make_shared<const manifest::ManifestIndex>(std::move(manifest));
        for (int i = 0; i < 3; ++i)
            fixture.addUpstream("d" + std::to_string(i), "desk", "dc-a", 1, {}, i ? otherVersion : "");
        fixture.update();
        exchange = std::make_unique<forward::Exchange>(fixture.makeRequest("/read/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange->begin(now(), 1);
        CHECK_TRUE(step.kind == StepKind::Send);
        first = step.send.placement.target;
        exchange->recordActivity(now());
    }

    Step runFor(base::Duration duration)
    {
        Step step;
        for (auto until = now() + duration; step.kind == StepKind::Wait && now() < until;) {
            fixture.advance(tickInterval);
            step = exchange->tick(now(), 1);
        }
        return step;
    }

    // Runs until the request is late and sent to another upstream, which accepts it.
    fleet::UpstreamInstance waitForReplacement()
    {
        auto step = runFor(milliseconds(600));
        CHECK_TRUE(step.kind == StepKind::Send);
        CHECK_TRUE(step.send.replaced && step.send.replaced->isKept);
        exchange->recordConnecting();
        fixture.advance(milliseconds(1));
        exchange->recordActivity(now());
        return step.send.placement.target;
    }
};

TEST(KeptRead, IsKeptForAsLongAsTheOtherOneRuns)
{
    begin(2);
    auto other = waitForReplacement();
    CHECK_TRUE(runFor(milliseconds(800)).kind == StepKind::Wait);
    CHECK_TRUE(exchange->isAttemptKept());
    LONGS_EQUAL(1, exchange->possibleRuns());
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1).kind == StepKind::GoBack);
    CHECK_TRUE(exchange->placement()->target == first);
    CHECK_FALSE(other == first);
}

TEST(KeptRead, CompleteResponseOfTheOtherOneEndsIt)
{
    begin(2);
    waitForReplacement();
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::Completed, now(), 1).kind == StepKind::Deliver);
    CHECK_FALSE(exchange->isAttemptKept());
    exchange.reset();
    CHECK_TRUE(fixture.totalLoad() == fleet::UpstreamLoad {});
}

TEST(KeptRead, RunsNoMoreOftenThanTheRoutePermits)
{
    begin(2);
    waitForReplacement();
    exchange->attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1);
    CHECK_TRUE(runFor(milliseconds(800)).kind == StepKind::Wait);
    LONGS_EQUAL(1, exchange->possibleRuns());
}

// An upstream that refuses did not run it, so the next one may.
TEST(KeptRead, IsSentElsewhereAfterARefusal)
{
    begin(2);
    auto second = waitForReplacement();
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::NotRun, now(), 1).kind == StepKind::GoBack);
    auto third = waitForReplacement();
    CHECK_FALSE(third == second);
    CHECK_FALSE(third == first);
    CHECK_TRUE(exchange->isAttemptKept());
}

// Both upstreams may hang, so a route with a third attempt uses it. Only the last two run side by side.
TEST(KeptRead, OldestAttemptMakesRoomForTheThird)
{
    begin(3);
    auto second = waitForReplacement();
    auto third = waitForReplacement();
    CHECK_TRUE(exchange->placement()->target == third);
    LONGS_EQUAL(2, exchange->possibleRuns());
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::NotRun, now(), 1).kind == StepKind::GoBack);
    CHECK_TRUE(exchange->placement()->target == second);
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::Completed, now(), 1).kind == StepKind::Deliver);
}

TEST(KeptRead, IsKeptWhenTheRetryBudgetIsUsedUp)
{
    begin(2);
    auto request = exchange->request();
    request.retries.ratio = 0;
    request.retries.slack = 0;
    request.id.value += 1;
    exchange = std::make_unique<forward::Exchange>(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange->begin(now(), 1).kind == StepKind::Send);
    exchange->recordActivity(now());
    CHECK_TRUE(runFor(milliseconds(800)).kind == StepKind::Wait);
    CHECK_FALSE(exchange->isAttemptKept());
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::Completed, now(), 1).kind == StepKind::Deliver);
}

// Unlike a stream, a response that comes whole may be of any version.
TEST(KeptRead, OtherAttemptMayBeOfAnotherVersion)
{
    begin(2, "v2");
    waitForReplacement();
    CHECK_TRUE(exchange->isAttemptKept());
}

// The other upstream may be gone, and the oldest attempt is the next to answer.
TEST(KeptRead, OldestAttemptGoesOnUntilTheThirdIsConnected)
{
    begin(3);
    waitForReplacement();
    auto step = runFor(milliseconds(600));
    CHECK_TRUE(step.kind == StepKind::Send);
    exchange->recordConnecting();
    CHECK_FALSE(step.send.placement.target == first);
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::NotConnected, now(), 1).kind == StepKind::GoBack);
    CHECK_TRUE(exchange->isAttemptKept());
}

// The attempt is cancelled because the other one has ended, which says nothing new of its upstream.
TEST(KeptRead, UpstreamIsNotSuspectedAgainWhenItsAttemptIsCancelled)
{
    begin(2);
    waitForReplacement();
    runFor(milliseconds(700));
    CHECK_TRUE(fixture.fleet.takesWork(first, now()));
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::Completed, now(), 1).kind == StepKind::Deliver);
    CHECK_TRUE(fixture.fleet.takesWork(first, now()));
}
