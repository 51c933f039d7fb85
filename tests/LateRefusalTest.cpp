// A stream's silent attempt has been closed in favour of another upstream, which refuses the stream only then.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(LateRefusal)
{
    static constexpr milliseconds tickInterval { 20 };

    fakes::FleetFixture fixture;
    std::unique_ptr<forward::Exchange> exchange;
    fleet::UpstreamInstance silent;

    base::Instant now() const { return fixture.clock.now(); }

    Step runFor(base::Duration duration)
    {
        Step step;
        for (auto until = now() + duration; step.kind == StepKind::Wait && now() < until;) {
            fixture.advance(tickInterval);
            step = exchange->tick(now(), 1);
            if (step.kind == StepKind::Probe)
                step = exchange->probeEnded(true, now(), 1);
        }
        return step;
    }

    // Begins a stream at one of two engines, which falls silent, and closes that attempt in favour of the other.
    void loseSilentAttempt()
    {
        fixture.addUpstream("e0", "engines", "dc-a");
        fixture.addUpstream("e1", "engines", "dc-b");
        fixture.update();
        exchange = std::make_unique<forward::Exchange>(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange->begin(now(), 1);
        CHECK_TRUE(step.kind == StepKind::Send);
        silent = step.send.placement.target;
        exchange->recordActivity(now());
        exchange->recordEvent(1, now());
        exchange->recordHeadersSent();
        CHECK_TRUE(runFor(seconds(3)).kind == StepKind::Send);
        exchange->recordActivity(now());
        runFor(fixture.exchangePolicy.keepBesideReplacement + tickInterval);
        CHECK_FALSE(exchange->isAttemptKept());
    }
};

TEST(LateRefusal, StreamIsSentToTheSilentUpstreamAgain)
{
    loseSilentAttempt();
    auto step = exchange->attemptEnded(AttemptOutcome::NotRun, now(), 1);
    if (step.kind == StepKind::Wait)
        step = runFor(seconds(2));
    CHECK_TRUE_TEXT(step.kind == StepKind::Send, base::nameOf(step.kind).data());
    CHECK_TRUE(step.send.placement.target == silent);
    LONGS_EQUAL(1, step.send.lastEventId.value_or(0));
    // What that upstream still sends of the closed run must not be taken for this response.
    CHECK_FALSE(step.send.allowsReusedConnection);
    LONGS_EQUAL(1, exchange->possibleRuns());
}

// An upstream that is silent for each attempt uses up the attempts of the route.
TEST(LateRefusal, StreamRunsNoMoreOftenThanTheRoutePermits)
{
    loseSilentAttempt();
    auto maxAttempts = exchange->request().route->maxAttempts;
    for (int i = 0; i < 20; ++i) {
        auto step = runFor(seconds(1));
        if (step.kind == StepKind::Send)
            exchange->recordActivity(now());
        CHECK_TRUE(exchange->possibleRuns() < maxAttempts + 1);
    }
}

// An upstream that could not be reached any more isn't asked again before it is trusted.
TEST(LateRefusal, SuspectedUpstreamIsNotAskedAgain)
{
    loseSilentAttempt();
    fixture.fleet.suspect(silent, fleet::SuspicionCause::Malformed, now());
    CHECK_FALSE(fixture.fleet.takesWork(silent, now()));
    auto step = exchange->attemptEnded(AttemptOutcome::NotRun, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Wait);
    CHECK_FALSE(exchange->placement().has_value());
}
