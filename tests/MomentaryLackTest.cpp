// The upstreams that could go on with a stream take no work for a moment. They did not refuse it for good, and the client can get
// nothing but the rest of the stream.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(MomentaryLack)
{
    static constexpr milliseconds tickInterval { 20 };

    fakes::FleetFixture fixture;
    std::unique_ptr<forward::Exchange> exchange;

    base::Instant now() const { return fixture.clock.now(); }

    // Begins a stream at one of three engines. Returns the engine.
    fleet::UpstreamInstance beginStream()
    {
        fixture.addUpstream("e0", "engines", "dc-a");
        fixture.addUpstream("e1", "engines", "dc-b");
        fixture.addUpstream("e2", "engines", "dc-c");
        fixture.update();
        exchange = std::make_unique<forward::Exchange>(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange->begin(now(), 1);
        CHECK_TRUE(step.kind == StepKind::Send);
        exchange->recordActivity(now());
        exchange->recordEvent(1, now());
        exchange->recordHeadersSent();
        return step.send.placement.target;
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

TEST(MomentaryLack, StreamGoesOnOnceTheOtherUpstreamsTakeRequestsAgain)
{
    auto first = beginStream();
    for (const auto& instance : fixture.instances) {
        if (instance.id != first.id)
            fixture.fleet.deferRequests(instance, seconds(2), now());
    }
    auto step = waitForSend(exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1));
    CHECK_TRUE_TEXT(step.kind == StepKind::Send, base::nameOf(step.kind).data());
}

TEST(MomentaryLack, StreamGoesOnOnceAnUpstreamHasRoomAgain)
{
    beginStream();
    auto step = exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1);
    for (int i = 0; i < 2; ++i) {
        CHECK_TRUE(step.kind == StepKind::Send);
        exchange->recordActivity(now());
        step = exchange->attemptEnded(AttemptOutcome::NotRun, now(), 1);
    }
    step = waitForSend(step);
    CHECK_TRUE_TEXT(step.kind == StepKind::Send, base::nameOf(step.kind).data());
}

// The only engine of a version is replaced, and the list names its successor a moment later.
TEST(MomentaryLack, StreamGoesOnOnceASuccessorOfItsUpstreamIsListed)
{
    fixture.addUpstream("e0", "engines", "dc-a");
    fixture.update();
    exchange = std::make_unique<forward::Exchange>(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange->begin(now(), 1).kind == StepKind::Send);
    exchange->recordActivity(now());
    exchange->recordEvent(1, now());
    exchange->recordHeadersSent();
    fixture.instances.clear();
    fixture.update();
    auto step = exchange->attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1);
    CHECK_TRUE_TEXT(step.kind == StepKind::Wait, base::nameOf(step.kind).data());
    fixture.advance(milliseconds(200));
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.update();
    step = waitForSend(exchange->tick(now(), 1));
    CHECK_TRUE_TEXT(step.kind == StepKind::Send, base::nameOf(step.kind).data());
}
