#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An upstream that is only silent may still answer. Its attempt is given up for another one, never for nothing.
TEST_GROUP(SilentUpstream)
{
    static constexpr milliseconds tickInterval { 20 };

    fakes::FleetFixture fixture;

    base::Instant now() const { return fixture.clock.now(); }

    // Ticks the exchange for `duration`, ending each probe with `isReachable`. Returns the first step that is neither Wait
    // nor Probe, or Wait if there is none.
    StepKind runFor(forward::Exchange & exchange, base::Duration duration, bool isReachable)
    {
        for (auto until = now() + duration; now() < until;) {
            fixture.advance(tickInterval);
            auto step = exchange.tick(now(), 1);
            if (step.kind == StepKind::Probe)
                step = exchange.probeEnded(isReachable, now(), 1);
            if (step.kind != StepKind::Wait)
                return step.kind;
        }
        return StepKind::Wait;
    }

    forward::ExchangeRequest requestWithoutRetries(const std::string& path) const
    {
        auto request = fixture.makeRequest(path);
        request.retries.ratio = 0;
        request.retries.slack = 0;
        return request;
    }
};

TEST(SilentUpstream, StalledStreamIsKeptWhenTheRetryBudgetIsUsedUp)
{
    fixture.addEngines();
    forward::Exchange exchange(requestWithoutRetries("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordHeadersSent();
    exchange.recordEvent(1, now());
    CHECK_TRUE(runFor(exchange, seconds(10), true) == StepKind::Wait);
    CHECK_TRUE(exchange.placement().has_value());
    LONGS_EQUAL(0, exchange.possibleRuns());
    // The upstream goes on, and its answer is delivered.
    exchange.recordEvent(2, now());
    CHECK_TRUE(exchange.attemptEnded(AttemptOutcome::Completed, now(), 1).kind == StepKind::Deliver);
}

TEST(SilentUpstream, StreamIsKeptAfterAFailedProbeWhenTheRetryBudgetIsUsedUp)
{
    fixture.addEngines();
    forward::Exchange exchange(requestWithoutRetries("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordHeadersSent();
    exchange.recordEvent(1, now());
    CHECK_TRUE(runFor(exchange, seconds(10), false) == StepKind::Wait);
    CHECK_TRUE(exchange.placement().has_value());
    // At the deadline it ends all the same.
    CHECK_TRUE(runFor(exchange, seconds(16), false) == StepKind::TimeOut);
}

TEST(SilentUpstream, StreamIsKeptWhenThereIsNoOtherUpstream)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.update();
    for (bool isReachable : { false, true }) {
        forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        exchange.begin(now(), 1);
        exchange.recordEvent(1, now());
        CHECK_TRUE(runFor(exchange, seconds(10), isReachable) == StepKind::Wait);
        CHECK_TRUE(exchange.placement().has_value());
    }
}

TEST(SilentUpstream, IdempotentRequestIsKeptWhenNoOtherAttemptIsPossible)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    {
        forward::Exchange alone(fixture.makeRequest("/read/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        alone.begin(now(), 1);
        CHECK_TRUE(runFor(alone, milliseconds(1100), true) == StepKind::Wait);
        CHECK_TRUE(alone.placement().has_value());
    }
    fixture.addUpstream("d2", "desk", "dc-b");
    fixture.update();
    forward::Exchange spent(requestWithoutRetries("/read/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    spent.begin(now(), 1);
    CHECK_TRUE(runFor(spent, milliseconds(1100), true) == StepKind::Wait);
    CHECK_TRUE(spent.placement().has_value());
}

TEST(SilentUpstream, UnreachableUpstreamIsLeftAsSoonAsThereIsAnother)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    // Fails a probe before the first event.
    CHECK_TRUE(runFor(exchange, fixture.exchangePolicy.probeInterval + tickInterval * 2, false) == StepKind::Wait);
    fixture.addUpstream("e2", "engines", "dc-b");
    fixture.update();
    CHECK_TRUE(runFor(exchange, tickInterval, false) == StepKind::Send);
}

TEST(SilentUpstream, WaitingForARetryUsesNoneOfTheBudget)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.update();
    auto request = fixture.makeRequest("/stream/x");
    request.retries.ratio = 0;
    request.retries.slack = 1;
    fixture.fleet.setNodeCount(1);
    forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordEvent(1, now());
    CHECK_TRUE(runFor(exchange, seconds(5), true) == StepKind::Wait);
    CHECK_TRUE(fixture.fleet.tryAcquireRetry(request.service, request.retries, now()));
}

// Without it, nobody can tell from the log who cut a run, or whether the node's own link was the cause.
TEST(SilentUpstream, ReasonForGivingUpAnAttemptIsTold)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordActivity(now());
    exchange.recordEvent(1, now());
    fixture.advance(milliseconds(250));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Probe);
    fixture.advance(milliseconds(150));
    auto step = exchange.probeEnded(false, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_TRUE(step.send.replaced.has_value());
    const auto& replaced = *step.send.replaced;
    CHECK_TRUE(replaced.reason == forward::SilenceReason::Unreachable);
    CHECK_TRUE(replaced.silence == milliseconds(400));
    CHECK_TRUE(replaced.sinceEvent == milliseconds(400));
    CHECK_TRUE(replaced.sinceContact == milliseconds(400));
    CHECK_TRUE(replaced.sinceAnyContact == milliseconds(400));
}
