// Replays a flood in which engines read prompts all the time: every stream is slow, and one that moves to another engine has its
// prompt read again behind those of others.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(SlowEngines)
{
    static constexpr base::Duration tickInterval = milliseconds(20);

    fakes::FleetFixture fixture;

    void setup() override
    {
        fixture.exchangePolicy.weighsMoves = true;
        fixture.addEngines();
    }

    base::Instant now() const { return fixture.clock.now(); }

    std::unique_ptr<forward::Exchange> begin()
    {
        auto exchange = std::make_unique<forward::Exchange>(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        CHECK_TRUE(exchange->begin(now(), 1).kind == StepKind::Send);
        return exchange;
    }

    // Begins a stream that brings its first event after the time.
    std::unique_ptr<forward::Exchange> beginStream(base::Duration firstEventTime)
    {
        auto exchange = begin();
        fixture.advance(firstEventTime);
        exchange->recordEvent(1, now());
        exchange->recordHeadersSent();
        return exchange;
    }

    // Lets other streams of the node begin, each after the time.
    void beginOthers(base::Duration firstEventTime)
    {
        for (int i = 0; i < 12; ++i)
            beginStream(firstEventTime)->attemptEnded(forward::AttemptOutcome::Completed, now(), 1);
    }

    // Returns how long the stream stays at its engine, which answers probes and sends nothing.
    base::Duration timeUntilMove(forward::Exchange & exchange, bool isReachable = true)
    {
        auto since = now();
        while (now() - since < seconds(10)) {
            fixture.advance(tickInterval);
            auto step = exchange.tick(now(), 1);
            if (step.kind == StepKind::Probe)
                step = exchange.probeEnded(isReachable, now(), 1);
            if (step.kind == StepKind::Send)
                break;
        }
        return now() - since;
    }
};

TEST(SlowEngines, StalledStreamStaysWhileItsPromptWouldTakeLongerElsewhere)
{
    beginOthers(milliseconds(2200));
    auto stream = beginStream(milliseconds(2200));
    auto time = timeUntilMove(*stream);
    CHECK_TRUE(time >= milliseconds(2100) && time <= milliseconds(2300));
}

// An engine that has stopped for good must be left, however slow the others are.
TEST(SlowEngines, StalledStreamMovesAfterSomeGapsHoweverSlowTheOthersAre)
{
    beginOthers(seconds(9));
    auto stream = beginStream(seconds(2));
    auto time = timeUntilMove(*stream);
    CHECK_TRUE(time >= milliseconds(2700) && time <= milliseconds(2900));
}

TEST(SlowEngines, StalledStreamMovesSoonWhileEnginesAreIdle)
{
    beginOthers(milliseconds(900));
    auto stream = beginStream(milliseconds(900));
    CHECK_TRUE(timeUntilMove(*stream) <= milliseconds(1200));
}

TEST(SlowEngines, StreamOfAnUnreachableEngineMovesAtOnce)
{
    beginOthers(seconds(3));
    auto stream = beginStream(seconds(3));
    CHECK_TRUE(timeUntilMove(*stream, false) <= milliseconds(300));
}

TEST(SlowEngines, FloodOfTheDistantPastIsForgotten)
{
    beginOthers(seconds(3));
    auto stream = beginStream(milliseconds(900));
    for (uint64_t event = 2; event < 120; ++event) {
        fixture.advance(milliseconds(100));
        stream->recordEvent(event, now());
    }
    CHECK_TRUE(timeUntilMove(*stream) <= milliseconds(1200));
}

TEST(SlowEngines, MovesAreNotWeighedUnlessTheSettingsAskForIt)
{
    fixture.exchangePolicy.weighsMoves = false;
    beginOthers(milliseconds(2200));
    auto stream = beginStream(milliseconds(2200));
    CHECK_TRUE(timeUntilMove(*stream) <= milliseconds(1200));
}

// Reading the prompt again is not what such a stream waits for.
TEST(SlowEngines, StreamThatGoesOnFromACopyIsNoMeasure)
{
    auto first = beginStream(milliseconds(900));
    fixture.advance(milliseconds(100));
    auto step = first->attemptEnded(forward::AttemptOutcome::LostDuringResponse, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_TRUE(step.send.usesBackup);
    auto before = fixture.fleet.firstEventTime({ "engines" }, now());
    fixture.advance(milliseconds(50));
    first->recordEvent(2, now());
    CHECK_TRUE(fixture.fleet.firstEventTime({ "engines" }, now()) == before);
}
