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
    fakes::FleetFixture fixture;

    base::Instant now() const { return fixture.clock.now(); }

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
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.addUpstream("d2", "desk", "dc-b");
    fixture.update();
    for (auto outcome : { AttemptOutcome::LostBeforeResponse, AttemptOutcome::LostDuringResponse, AttemptOutcome::Malformed, AttemptOutcome::Silent }) {
        forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        CHECK_TRUE(exchange.begin(now(), 1).kind == StepKind::Send);
        auto step = exchange.attemptEnded(outcome, now(), 1);
        CHECK_TRUE(step.kind == StepKind::Fail);
    }
}

TEST(Exchange, RequestThatWasNotRunIsSentToAnotherUpstreamOrRefused)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.addUpstream("d2", "desk", "dc-b");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto first = exchange.begin(now(), 1);
    auto second = exchange.attemptEnded(AttemptOutcome::NotRun, now(), 1);
    CHECK_TRUE(second.kind == StepKind::Send);
    CHECK_TRUE(first.send.placement.target.id != second.send.placement.target.id);
    auto third = exchange.attemptEnded(AttemptOutcome::NotRun, now(), 1);
    CHECK_TRUE(third.kind == StepKind::Wait);
    fixture.advance(milliseconds(60));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Refuse);
}

TEST(Exchange, FailureResponseIsDeliveredWhenNoAttemptIsLeft)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.addUpstream("d2", "desk", "dc-b");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/read/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    CHECK_TRUE(exchange.attemptEnded(AttemptOutcome::UpstreamError, now(), 1).kind == StepKind::Send);
    CHECK_TRUE(exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1).kind == StepKind::Deliver);
}

TEST(Exchange, RefusedConnectionsDoNotUseUpTheAttempts)
{
    // During an outage, all engines of a data centre refuse connections within a millisecond.
    for (int i = 0; i < 12; ++i)
        fixture.addUpstream("a-" + std::to_string(i), "engines", "dc-a");
    fixture.addUpstream("b-0", "engines", "dc-b");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(now(), 1);
    unsigned sends = 0;
    while (step.kind == StepKind::Send && step.send.placement.target.dataCentre.text == "dc-a" && ++sends < 100)
        step = exchange.attemptEnded(AttemptOutcome::NotConnected, now(), sends);
    CHECK_TRUE(step.kind == StepKind::Send);
    STRCMP_EQUAL("b-0", step.send.placement.target.id.text.c_str());
}

TEST(Exchange, DataCentreWhoseUpstreamsFailTogetherIsAvoided)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    for (const auto& instance : fixture.instances) {
        if (instance.id.text == "dc-b-0" || instance.id.text == "dc-b-1")
            fixture.fleet.suspect(instance, fleet::SuspicionCause::ConnectionLost, now());
    }
    for (uint64_t random = 0; random < 40; ++random) {
        forward::Exchange other(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = other.begin(now(), random);
        CHECK_TRUE(step.kind == StepKind::Send);
        CHECK_TRUE(step.send.placement.target.dataCentre.text != "dc-b");
        CHECK_TRUE(step.send.placement.backup->dataCentre.text != "dc-b");
    }
}

TEST(Exchange, StreamResumesAtItsBackupEvenIfListedUnderANewId)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto first = exchange.begin(now(), 1);
    exchange.recordEvent(1, now());
    auto address = first.send.placement.backup->address;
    for (auto& instance : fixture.instances) {
        if (instance.address == address)
            instance = { { "new-id" }, instance.service, address, instance.dataCentre, 2, 6, false };
    }
    fixture.update();
    auto step = exchange.attemptEnded(AttemptOutcome::LostDuringResponse, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    STRCMP_EQUAL("new-id", step.send.placement.target.id.text.c_str());
    CHECK_TRUE(step.send.usesBackup);
    LONGS_EQUAL(1, *step.send.lastEventId);
}

TEST(Exchange, UpstreamIsProbedOnceDuringASuspectedOutage)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto target = exchange.begin(now(), 1).send.placement.target;
    unsigned probes = 0;
    for (int i = 0; i < 100; ++i) {
        // The other upstreams of its data centre keep failing.
        for (const auto& instance : fixture.instances) {
            if (instance.dataCentre == target.dataCentre && instance.id != target.id)
                fixture.fleet.suspect(instance, fleet::SuspicionCause::Unreachable, now());
        }
        fixture.advance(milliseconds(10));
        if (exchange.tick(now(), 1).kind == StepKind::Probe) {
            ++probes;
            CHECK_TRUE(exchange.probeEnded(true, now(), 1).kind == StepKind::Wait);
        }
    }
    LONGS_EQUAL(1, probes);
}

TEST(Exchange, OlderIncarnationAtAnAddressIsNotUsed)
{
    fixture.addUpstream("old", "engines", "dc-a", 1, "127.0.0.1:9000");
    fixture.addUpstream("new", "engines", "dc-a", 2, "127.0.0.1:9000");
    fixture.update();
    for (uint64_t random = 0; random < 10; ++random) {
        forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange.begin(now(), random);
        STRCMP_EQUAL("new", step.send.placement.target.id.text.c_str());
    }
}

TEST(Exchange, SilentStreamIsProbedAndMovedOnlyIfItsUpstreamIsUnreachable)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    exchange.recordEvent(1, now());
    fixture.advance(milliseconds(300));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Probe);
    CHECK_TRUE(exchange.probeEnded(true, now(), 1).kind == StepKind::Wait);
    fixture.advance(milliseconds(250));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Probe);
    auto step = exchange.probeEnded(false, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_TRUE(step.send.usesBackup);
}

TEST(Exchange, ResumedStreamIsMoreUrgentThanNewOnesOfItsPriority)
{
    // Replays engines that are lost in a flood: their streams waited behind new ones at the engines that were left.
    fixture.addEngines();
    auto request = fixture.makeRequest("/stream/x");
    request.priority = 1;
    forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    auto urgencyOfNewStream = exchange.urgency();
    exchange.recordEvent(5, now());
    exchange.attemptEnded(AttemptOutcome::LostDuringResponse, now(), 2);
    CHECK_TRUE(exchange.urgency() < urgencyOfNewStream);
    request.priority = 0;
    forward::Exchange urgent(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(urgent.urgency() < exchange.urgency());
}

TEST(Exchange, AttemptThatNeverConnectedIsNoRunHoweverItsFailureShows)
{
    // Replays engines that go dark during a flood: the probe of a suspected data centre fails before the connection
    // attempt times out. Three such attempts counted as runs, and the client was told that its request may have run.
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(now(), 1);
    for (unsigned i = 0; i < 6; ++i) {
        CHECK_TRUE(step.kind == StepKind::Send);
        exchange.recordConnecting();
        fixture.advance(milliseconds(150));
        step = exchange.probeEnded(false, now(), i);
    }
    LONGS_EQUAL(0, exchange.possibleRuns());
    // Once connected, silence may hide a run.
    exchange.recordConnecting();
    exchange.recordActivity(now());
    exchange.probeEnded(false, now(), 1);
    LONGS_EQUAL(1, exchange.possibleRuns());
}

TEST(Exchange, StreamBeforeItsFirstEventIsProbedAtOnceWhenItsDataCentreFails)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto target = exchange.begin(now(), 1).send.placement.target;
    fixture.advance(milliseconds(300));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Wait);
    for (const auto& instance : fixture.instances) {
        if (instance.dataCentre == target.dataCentre && instance.id != target.id)
            fixture.fleet.suspect(instance, fleet::SuspicionCause::Silent, now());
    }
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Probe);
}

TEST(Exchange, BackupIsNotUsedBeforeTheFirstEvent)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    auto step = exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_FALSE(step.send.usesBackup);
}

TEST(Exchange, RequestTimesOutAtTheRoutesTimeout)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(now(), 1);
    CHECK_TRUE(step.send.timeout <= milliseconds(1200));
    fixture.advance(milliseconds(1199));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Wait);
    fixture.advance(milliseconds(1));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::TimeOut);
}

TEST(Exchange, BookedLoadIsReleasedHoweverTheRequestEnds)
{
    fixture.addEngines();
    {
        forward::Exchange first(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        forward::Exchange second(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        first.begin(now(), 1);
        second.begin(now(), 2);
        first.recordEvent(1, now());
        first.attemptEnded(AttemptOutcome::LostDuringResponse, now(), 3);
        second.backupRefused(now(), 4);
        CHECK_TRUE(fixture.totalLoad().requests == 2);
    }
    CHECK_TRUE(fixture.totalLoad() == fleet::UpstreamLoad {});
}
