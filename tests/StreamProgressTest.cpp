#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::StepKind;
using std::chrono::milliseconds;

// Streams that are slow but advance must live; streams whose bytes bring no event must end in bounded time and continue
// elsewhere.
TEST_GROUP(StreamProgress)
{
    // The gap objective of the fixture's stream route is 700 ms, its timeout 25 s.
    static constexpr milliseconds tickInterval { 20 };

    fakes::FleetFixture fixture;

    void setup() override { fixture.addEngines(); }

    base::Instant now() const { return fixture.clock.now(); }

    // Ticks the exchange for `duration`, answering each probe. Calls `eachTick` before each tick. Returns the first step
    // that is neither Wait nor Probe, or Wait if there is none.
    template<typename Function>
    StepKind runFor(forward::Exchange & exchange, base::Duration duration, Function && eachTick)
    {
        for (auto until = now() + duration; now() < until;) {
            fixture.advance(tickInterval);
            eachTick();
            auto step = exchange.tick(now(), 1);
            if (step.kind == StepKind::Probe)
                step = exchange.probeEnded(true, now(), 1);
            if (step.kind != StepKind::Wait)
                return step.kind;
        }
        return StepKind::Wait;
    }
};

TEST(StreamProgress, StreamWithAnEventJustInsideItsGapObjectiveIsNeverCut)
{
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    uint64_t id = 1;
    exchange.recordEvent(id, now());
    auto lastEventAt = now();
    auto step = runFor(exchange, std::chrono::seconds(24), [&] {
        if (now() - lastEventAt < milliseconds(680))
            return;
        exchange.recordEvent(++id, now());
        lastEventAt = now();
    });
    CHECK_TRUE(step == StepKind::Wait);
    CHECK_TRUE(id > 30);
}

TEST(StreamProgress, BytesWithoutAnEventDoNotKeepAStreamAlive)
{
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordEvent(1, now());
    auto began = now();
    auto step = runFor(exchange, std::chrono::seconds(10), [&] { exchange.recordActivity(now()); });
    CHECK_TRUE(step == StepKind::Send);
    // Twice the gap objective, so that the resumed stream still makes the next event late only once.
    CHECK_TRUE(now() - began <= milliseconds(1400));
}

TEST(StreamProgress, FirstEventThatIsNeverCompletedDoesNotKeepAStreamAlive)
{
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    fixture.advance(milliseconds(900));
    auto began = now();
    auto step = runFor(exchange, std::chrono::seconds(10), [&] {
        exchange.recordActivity(now());
        exchange.recordPartialEvent(now());
    });
    CHECK_TRUE(step == StepKind::Send);
    CHECK_TRUE(now() - began <= milliseconds(1400));
}

TEST(StreamProgress, LongPrefillIsNotCutBeforeTheFirstByte)
{
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    CHECK_TRUE(runFor(exchange, std::chrono::seconds(20), [] {}) == StepKind::Wait);
}

TEST(StreamProgress, TrickledResponseOfAnIdempotentRequestIsAbandonedWhileARetryIsLeft)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.addUpstream("d2", "desk", "dc-b");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/read/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    auto began = now();
    auto step = runFor(exchange, milliseconds(1100), [&] { exchange.recordActivity(now()); });
    CHECK_TRUE(step == StepKind::Send);
    // The latency objective of the route.
    CHECK_TRUE(now() - began <= milliseconds(400) + tickInterval);
}

TEST(StreamProgress, TimeInWhichTheProcessWasPausedIsNotSilence)
{
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordEvent(1, now());
    fixture.advance(milliseconds(100));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Wait);
    fixture.advance(milliseconds(5000));
    exchange.discountPause(milliseconds(4980), now());
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Wait);
    // Silence counts again from here.
    CHECK_TRUE(runFor(exchange, milliseconds(1100), [] {}) == StepKind::Send);
}
