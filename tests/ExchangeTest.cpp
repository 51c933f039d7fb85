#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;

TEST_GROUP(Exchange)
{
    fakes::FleetFixture world;

    base::Instant now() const { return world.clock.now(); }

    // Fails every connection attempt until the exchange stops sending. Returns its last step.
    StepKind refuseConnections(forward::Exchange & exchange, Step step, unsigned& sends)
    {
        for (sends = 0; step.kind == StepKind::Send && sends < 100; ++sends)
            step = exchange.attemptEnded(AttemptOutcome::NotConnected, now(), sends * 7919);
        return step.kind;
    }
};

TEST(Exchange, NonIdempotentRequestIsNotRetriedOnceItMayHaveRun)
{
    world.list("d1", "desk", "dc-a");
    world.list("d2", "desk", "dc-b");
    world.update();
    for (auto outcome : { AttemptOutcome::LostBeforeResponse, AttemptOutcome::LostDuringResponse, AttemptOutcome::Malformed, AttemptOutcome::Silent }) {
        forward::Exchange exchange(world.requestOn("/book/x"), world.fleet, world.crashes, world.exchangePolicy);
        CHECK_TRUE(exchange.begin(now(), 1).kind == StepKind::Send);
        auto step = exchange.attemptEnded(outcome, now(), 1);
        CHECK_TRUE(step.kind == StepKind::Fail);
    }
}

TEST(Exchange, RequestThatWasNotRunIsSentToAnotherUpstreamOrRefused)
{
    world.list("d1", "desk", "dc-a");
    world.list("d2", "desk", "dc-b");
    world.update();
    forward::Exchange exchange(world.requestOn("/book/x"), world.fleet, world.crashes, world.exchangePolicy);
    auto first = exchange.begin(now(), 1);
    auto second = exchange.attemptEnded(AttemptOutcome::NotRun, now(), 1);
    CHECK_TRUE(second.kind == StepKind::Send);
    CHECK_TRUE(first.send.placement.target.id != second.send.placement.target.id);
    auto third = exchange.attemptEnded(AttemptOutcome::NotRun, now(), 1);
    CHECK_TRUE(third.kind == StepKind::Wait);
    world.advance(milliseconds(60));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Refuse);
}

TEST(Exchange, FailureResponseIsDeliveredWhenNoAttemptIsLeft)
{
    world.list("d1", "desk", "dc-a");
    world.list("d2", "desk", "dc-b");
    world.update();
    forward::Exchange exchange(world.requestOn("/read/x"), world.fleet, world.crashes, world.exchangePolicy);
    exchange.begin(now(), 1);
    CHECK_TRUE(exchange.attemptEnded(AttemptOutcome::UpstreamError, now(), 1).kind == StepKind::Send);
    CHECK_TRUE(exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1).kind == StepKind::Deliver);
}

TEST(Exchange, RefusedConnectionsDoNotUseUpTheAttempts)
{
    // During an outage, all engines of a data centre refuse connections within a millisecond.
    for (int i = 0; i < 12; ++i)
        world.list("a-" + std::to_string(i), "engines", "dc-a");
    world.list("b-0", "engines", "dc-b");
    world.update();
    forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
    auto step = exchange.begin(now(), 1);
    unsigned sends = 0;
    while (step.kind == StepKind::Send && step.send.placement.target.dataCentre.text == "dc-a" && ++sends < 100)
        step = exchange.attemptEnded(AttemptOutcome::NotConnected, now(), sends);
    CHECK_TRUE(step.kind == StepKind::Send);
    STRCMP_EQUAL("b-0", step.send.placement.target.id.text.c_str());
}

TEST(Exchange, DataCentreWhoseUpstreamsFailTogetherIsAvoided)
{
    world.listEngines();
    forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
    exchange.begin(now(), 1);
    for (const auto& instance : world.listed) {
        if (instance.id.text == "dc-b-0" || instance.id.text == "dc-b-1")
            world.fleet.suspect(instance, fleet::SuspicionCause::ConnectionLost, now());
    }
    for (uint64_t random = 0; random < 40; ++random) {
        forward::Exchange other(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
        auto step = other.begin(now(), random);
        CHECK_TRUE(step.kind == StepKind::Send);
        CHECK_TRUE(step.send.placement.target.dataCentre.text != "dc-b");
        CHECK_TRUE(step.send.placement.backup->dataCentre.text != "dc-b");
    }
}

TEST(Exchange, StreamResumesAtItsBackupEvenIfListedUnderANewId)
{
    world.listEngines();
    forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
    auto first = exchange.begin(now(), 1);
    exchange.recordEvent(1, now());
    auto address = first.send.placement.backup->address;
    for (auto& instance : world.listed) {
        if (instance.address == address)
            instance = { { "new-id" }, instance.service, address, instance.dataCentre, 2, 6, false };
    }
    world.update();
    auto step = exchange.attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    STRCMP_EQUAL("new-id", step.send.placement.target.id.text.c_str());
    CHECK_TRUE(step.send.usesBackup);
    LONGS_EQUAL(1, *step.send.lastEventId);
}

TEST(Exchange, UpstreamIsProbedOnceDuringASuspectedOutage)
{
    world.listEngines();
    forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
    auto target = exchange.begin(now(), 1).send.placement.target;
    unsigned probes = 0;
    for (int i = 0; i < 100; ++i) {
        // The other upstreams of its data centre keep failing.
        for (const auto& instance : world.listed) {
            if (instance.dataCentre == target.dataCentre && instance.id != target.id)
                world.fleet.suspect(instance, fleet::SuspicionCause::Unreachable, now());
        }
        world.advance(milliseconds(10));
        if (exchange.tick(now(), 1).kind == StepKind::Probe) {
            ++probes;
            CHECK_TRUE(exchange.probeEnded(true, now(), 1).kind == StepKind::Wait);
        }
    }
    LONGS_EQUAL(1, probes);
}

TEST(Exchange, OlderIncarnationAtAnAddressIsNotUsed)
{
    world.list("old", "engines", "dc-a", 1, "127.0.0.1:9000");
    world.list("new", "engines", "dc-a", 2, "127.0.0.1:9000");
    world.update();
    for (uint64_t random = 0; random < 10; ++random) {
        forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
        auto step = exchange.begin(now(), random);
        STRCMP_EQUAL("new", step.send.placement.target.id.text.c_str());
    }
}

TEST(Exchange, SilentStreamIsProbedAndMovedOnlyIfItsUpstreamIsUnreachable)
{
    world.listEngines();
    forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordEvent(1, now());
    world.advance(milliseconds(300));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Probe);
    CHECK_TRUE(exchange.probeEnded(true, now(), 1).kind == StepKind::Wait);
    world.advance(milliseconds(250));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Probe);
    auto step = exchange.probeEnded(false, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_TRUE(step.send.usesBackup);
}

TEST(Exchange, StreamBeforeItsFirstEventIsProbedAtOnceWhenItsDataCentreFails)
{
    world.listEngines();
    forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
    auto target = exchange.begin(now(), 1).send.placement.target;
    world.advance(milliseconds(300));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Wait);
    for (const auto& instance : world.listed) {
        if (instance.dataCentre == target.dataCentre && instance.id != target.id)
            world.fleet.suspect(instance, fleet::SuspicionCause::Silent, now());
    }
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Probe);
}

TEST(Exchange, BackupIsNotUsedBeforeTheFirstEvent)
{
    world.listEngines();
    forward::Exchange exchange(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
    exchange.begin(now(), 1);
    auto step = exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_FALSE(step.send.usesBackup);
}

TEST(Exchange, RequestTimesOutAtTheRoutesTimeout)
{
    world.list("d1", "desk", "dc-a");
    world.update();
    forward::Exchange exchange(world.requestOn("/book/x"), world.fleet, world.crashes, world.exchangePolicy);
    auto step = exchange.begin(now(), 1);
    CHECK_TRUE(step.send.timeout <= milliseconds(1200));
    world.advance(milliseconds(1199));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Wait);
    world.advance(milliseconds(1));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::TimeOut);
}

TEST(Exchange, BookedLoadIsReleasedHoweverTheRequestEnds)
{
    world.listEngines();
    {
        forward::Exchange first(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
        forward::Exchange second(world.requestOn("/stream/x"), world.fleet, world.crashes, world.exchangePolicy);
        first.begin(now(), 1);
        second.begin(now(), 2);
        first.recordEvent(1, now());
        first.attemptEnded(AttemptOutcome::LostDuringResponse, now(), 3);
        second.backupRefused(now(), 4);
        CHECK_TRUE(world.booked().requests == 2);
    }
    CHECK_TRUE(world.booked() == fleet::UpstreamLoad {});
}
