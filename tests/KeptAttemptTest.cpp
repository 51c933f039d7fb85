// The silent attempt of a stream is kept while the node finds out whether another upstream can go on.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(KeptAttempt)
{
    static constexpr milliseconds tickInterval { 20 };
    static constexpr milliseconds connectTimeout { 350 };

    fakes::FleetFixture fixture;
    std::unique_ptr<forward::Exchange> exchange;
    fleet::UpstreamInstance first;

    base::Instant now() const { return fixture.clock.now(); }

    void begin(const forward::ExchangeRequest& request)
    {
        exchange = std::make_unique<forward::Exchange>(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange->begin(now(), 1);
        CHECK_TRUE(step.kind == StepKind::Send);
        first = step.send.placement.target;
        exchange->recordActivity(now());
    }

    void beginStream()
    {
        fixture.addEngines();
        begin(fixture.makeRequest("/stream/x"));
        exchange->recordHeadersSent();
        exchange->recordEvent(1, now());
    }

    // Ticks until a step other than a probe is due, for `duration` at most. Probes end with `isReachable`.
    Step runFor(base::Duration duration, bool isReachable)
    {
        for (auto until = now() + duration; now() < until;) {
            fixture.advance(tickInterval);
            auto step = exchange->tick(now(), 1);
            if (step.kind == StepKind::Probe)
                step = exchange->probeEnded(isReachable, now(), 1);
            if (step.kind != StepKind::Wait)
                return step;
        }
        return {};
    }

    // Runs until the silent attempt is to be replaced. Leaves the other one connecting.
    Step waitForReplacement(bool isReachable = false)
    {
        auto step = runFor(seconds(3), isReachable);
        CHECK_TRUE(step.kind == StepKind::Send);
        CHECK_TRUE(step.send.replaced && step.send.replaced->isKept);
        exchange->recordConnecting();
        return step;
    }
};

TEST(KeptAttempt, GoesOnAfterASilenceInWhichNothingCouldBeReached)
{
    beginStream();
    for (auto until = now() + seconds(1); now() < until;) {
        auto step = runFor(until - now(), false);
        if (step.kind != StepKind::Send)
            continue;
        exchange->recordConnecting();
        fixture.advance(connectTimeout);
        CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::NotConnected, now(), 1).kind == StepKind::GoBack);
    }
    CHECK_TRUE(exchange->placement()->target == first);
    exchange->recordActivity(now());
    exchange->recordEvent(2, now());
    LONGS_EQUAL(0, exchange->possibleRuns());
    CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::Completed, now(), 1).kind == StepKind::Deliver);
}

TEST(KeptAttempt, GoesOnAfterTheOtherUpstreamHasRefused)
{
    beginStream();
    for (auto refusal : { AttemptOutcome::NotRun, AttemptOutcome::Misdirected, AttemptOutcome::BackupMissing }) {
        auto other = waitForReplacement().send.placement.target;
        exchange->recordActivity(now());
        CHECK_TRUE(exchange->attemptEnded(refusal, now(), 1).kind == StepKind::GoBack);
        CHECK_TRUE(exchange->placement()->target == first);
        CHECK_FALSE(other == first);
    }
    LONGS_EQUAL(0, exchange->possibleRuns());
}

TEST(KeptAttempt, RefusedBackupDoesNotEndIt)
{
    beginStream();
    waitForReplacement();
    exchange->recordActivity(now());
    CHECK_TRUE(exchange->backupRefused(now(), 1).kind == StepKind::GoBack);
    CHECK_TRUE(exchange->placement()->target == first);
}

// Another upstream is tried after 1.6 gap objectives, in time for one that hangs. One that goes on until then isn't cut.
TEST(KeptAttempt, ReachableUpstreamThatIsSilentForASecondIsNotLeft)
{
    beginStream();
    auto silentUntil = now() + milliseconds(1300);
    waitForReplacement(true);
    exchange->recordActivity(now());
    CHECK_TRUE(runFor(silentUntil - now(), true).kind == StepKind::Wait);
    CHECK_TRUE(exchange->isAttemptKept());
    exchange->keptAttemptGoesOn(now());
    exchange->recordEvent(2, now());
    CHECK_TRUE(exchange->placement()->target == first);
}

TEST(KeptAttempt, DoesNotRunBesideTheOtherOneForLong)
{
    beginStream();
    waitForReplacement();
    // While the other upstream is not connected, only one can run.
    CHECK_TRUE(runFor(milliseconds(340), false).kind == StepKind::Wait);
    CHECK_TRUE(exchange->isAttemptKept());
    exchange->recordActivity(now());
    fixture.advance(milliseconds(100));
    exchange->tick(now(), 1);
    CHECK_TRUE(exchange->isAttemptKept());
    fixture.advance(milliseconds(100));
    exchange->tick(now(), 1);
    CHECK_FALSE(exchange->isAttemptKept());
    LONGS_EQUAL(1, exchange->possibleRuns());
    CHECK_FALSE(exchange->placement()->target == first);
}

TEST(KeptAttempt, FirstEventDecides)
{
    beginStream();
    auto other = waitForReplacement().send.placement.target;
    exchange->recordActivity(now());
    exchange->recordEvent(2, now());
    CHECK_FALSE(exchange->isAttemptKept());
    CHECK_TRUE(exchange->placement()->target == other);

    // Now the second attempt falls silent, and is the first to go on.
    auto third = waitForReplacement().send.placement.target;
    exchange->recordActivity(now());
    exchange->keptAttemptGoesOn(now());
    exchange->recordEvent(3, now());
    CHECK_FALSE(exchange->isAttemptKept());
    CHECK_TRUE(exchange->placement()->target == other);
    CHECK_FALSE(third == other);
    // The first run, and the third upstream's, which may have begun.
    LONGS_EQUAL(2, exchange->possibleRuns());
}

TEST(KeptAttempt, UpstreamThatWentOnIsTrustedAgain)
{
    beginStream();
    waitForReplacement();
    CHECK_FALSE(fixture.fleet.takesWork(first, now()));
    exchange->keptAttemptGoesOn(now());
    exchange->recordEvent(2, now());
    CHECK_TRUE(fixture.fleet.takesWork(first, now()));
}

// Connections that are not established cause no load, so they use up the budget only once.
TEST(KeptAttempt, ManyFailedConnectionsUseOneRetry)
{
    fixture.addEngines();
    auto request = fixture.makeRequest("/stream/x");
    request.retries.ratio = 0;
    request.retries.slack = 2;
    fixture.fleet.setNodeCount(1);
    begin(request);
    exchange->recordHeadersSent();
    exchange->recordEvent(1, now());
    for (int i = 0; i < 5; ++i) {
        waitForReplacement();
        fixture.advance(connectTimeout);
        CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::NotConnected, now(), 1).kind == StepKind::GoBack);
    }
    CHECK_TRUE(fixture.fleet.tryAcquireRetry(request.service, request.retries, now()));
    CHECK_FALSE(fixture.fleet.tryAcquireRetry(request.service, request.retries, now()));
}

// The node's own link was full, every other upstream failed once, and the silent one has in fact gone.
TEST(KeptAttempt, DeadUpstreamIsLeftOnceTheOthersCanBeReachedAgain)
{
    beginStream();
    for (size_t i = 0; i + 1 < fixture.instances.size(); ++i) {
        waitForReplacement();
        fixture.advance(milliseconds(10));
        CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::NotConnected, now(), 1).kind == StepKind::GoBack);
    }
    waitForReplacement();
}

TEST(KeptAttempt, EndsWithItsConnectionAndTheOtherOneGoesOn)
{
    beginStream();
    auto other = waitForReplacement().send.placement.target;
    exchange->recordActivity(now());
    exchange->keptAttemptEnded(AttemptOutcome::LostDuringResponse, now());
    CHECK_FALSE(exchange->isAttemptKept());
    exchange->recordEvent(2, now());
    CHECK_TRUE(exchange->placement()->target == other);
    LONGS_EQUAL(1, exchange->possibleRuns());
}

// Before the first event only attempts at one version may run beside each other (KeptVersion), so the silent one is closed first.
TEST(KeptAttempt, StreamIsOfTheVersionThatBroughtItsFirstEvent)
{
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e2", "engines", "dc-b", 1, {}, "v2");
    fixture.update();
    auto request = fixture.makeRequest("/stream/x");
    request.attempt.text = "a";
    begin(request);
    auto step = runFor(seconds(3), false);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_TRUE(step.send.replaced && !step.send.replaced->isKept);
    CHECK_FALSE(exchange->isAttemptKept());
    const auto& other = step.send.placement.target;
    CHECK_FALSE(other.version == first.version);
    exchange->recordActivity(now());
    exchange->recordEvent(1, now());
    exchange->recordHeadersSent();
    auto origin = fixture.origins.resolve({ request.attempt, request.service, request.arrivedAt }, now());
    CHECK_TRUE(origin.kind == origin::ResolutionKind::Known);
    CHECK_TRUE(origin.origin.version == other.version);
}

// A refusal would say that the request has not run.
TEST(KeptAttempt, RequestIsNotRefusedWhileItMayRunThere)
{
    fixture.addEngines();
    begin(fixture.makeRequest("/stream/x"));
    waitForReplacement();
    CHECK_TRUE(exchange->stopBeforeSend().kind == StepKind::Wait);
    CHECK_TRUE(exchange->abandon().kind == StepKind::Fail);
}

TEST(KeptAttempt, BookedLoadIsReleasedHoweverTheRequestEnds)
{
    fixture.addEngines();
    for (int end = 0; end < 5; ++end) {
        begin(fixture.makeRequest("/stream/x"));
        exchange->recordEvent(1, now());
        waitForReplacement();
        exchange->recordActivity(now());
        if (end == 0)
            exchange->recordEvent(2, now());
        else if (end == 1)
            exchange->keptAttemptGoesOn(now());
        else if (end == 2)
            exchange->keptAttemptEnded(AttemptOutcome::LostDuringResponse, now());
        else if (end == 3)
            exchange->attemptEnded(AttemptOutcome::Completed, now(), 1);
        exchange.reset();
        CHECK_TRUE(fixture.totalLoad() == fleet::UpstreamLoad {});
    }
}
