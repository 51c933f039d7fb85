// The client of a stream that has begun can get nothing but the rest of it, so a lack that may be over in a moment does not end it.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(OngoingStream)
{
    static constexpr milliseconds tickInterval { 20 };

    fakes::FleetFixture fixture;
    std::unique_ptr<forward::Exchange> exchange;

    base::Instant now() const { return fixture.clock.now(); }

    void beginStream(const forward::ExchangeRequest& request)
    {
        exchange = std::make_unique<forward::Exchange>(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        CHECK_TRUE(exchange->begin(now(), 1).kind == StepKind::Send);
        exchange->recordActivity(now());
        exchange->recordHeadersSent();
        exchange->recordEvent(1, now());
    }

    // Loses a stream whose service has one retry left, which another upstream gets.
    void loseStreamWithOneRetryLeft()
    {
        fixture.addEngines();
        fixture.fleet.setNodeCount(1);
        auto request = fixture.makeRequest("/stream/x");
        request.retries = { 0, 1, seconds(10) };
        beginStream(request);
        CHECK_TRUE(exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1).kind == StepKind::Send);
        exchange->recordActivity(now());
    }

    void checkGoesOnWithNextBudget(Step step)
    {
        CHECK_TRUE_TEXT(step.kind == StepKind::Wait, base::nameOf(step.kind).data());
        fixture.advance(seconds(12));
        step = waitForSend(exchange->tick(now(), 1));
        CHECK_TRUE_TEXT(step.kind == StepKind::Send, base::nameOf(step.kind).data());
    }

    Step waitForSend(Step step)
    {
        for (auto until = now() + seconds(5); step.kind == StepKind::Wait && now() < until;) {
            fixture.advance(tickInterval);
            step = exchange->tick(now(), 1);
        }
        return step;
    }
};

TEST(OngoingStream, WaitsForTheRetryBudgetAfterARefusal)
{
    loseStreamWithOneRetryLeft();
    checkGoesOnWithNextBudget(exchange->attemptEnded(AttemptOutcome::NotRun, now(), 1));
}

// The response does not tell whether the upstream refused the request or its backup, so another backup is tried.
TEST(OngoingStream, WaitsForTheRetryBudgetAfterARefusedBackup)
{
    loseStreamWithOneRetryLeft();
    CHECK_TRUE(exchange->placement()->backup.has_value());
    checkGoesOnWithNextBudget(exchange->backupRefused(now(), 1));
}

TEST(OngoingStream, WaitsForRoomAfterManyUpstreamsHaveRefusedItAtOnce)
{
    fixture.addEngines();
    beginStream(fixture.makeRequest("/stream/x"));
    auto step = exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1);
    for (unsigned refusals = 0; step.kind == StepKind::Send && refusals < fixture.instances.size(); ++refusals) {
        exchange->recordActivity(now());
        step = exchange->attemptEnded(AttemptOutcome::NotRun, now(), 1);
    }
    CHECK_TRUE_TEXT(step.kind == StepKind::Wait, base::nameOf(step.kind).data());
    step = waitForSend(step);
    CHECK_TRUE_TEXT(step.kind == StepKind::Send, base::nameOf(step.kind).data());
}

// All upstreams of a service are replaced. Those that leave say so before the list names their successors.
TEST(OngoingStream, WaitsForSuccessorsWhileAllUpstreamsAreLeaving)
{
    fixture.addUpstream("e0", "engines", "dc-a");
    fixture.addUpstream("e1", "engines", "dc-b");
    fixture.update();
    beginStream(fixture.makeRequest("/stream/x"));
    for (const auto& instance : fixture.instances)
        fixture.fleet.recordLeaving(instance, now());
    auto step = exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1);
    CHECK_TRUE_TEXT(step.kind == StepKind::Wait, base::nameOf(step.kind).data());
    fixture.advance(milliseconds(200));
    fixture.addUpstream("e2", "engines", "dc-a");
    fixture.update();
    step = waitForSend(exchange->tick(now(), 1));
    CHECK_TRUE_TEXT(step.kind == StepKind::Send, base::nameOf(step.kind).data());
}
