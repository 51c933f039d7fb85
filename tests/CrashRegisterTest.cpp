#include "forward/CrashRegister.h"

#include "PropertyCheck.h"
#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using forward::StepKind;
using std::chrono::milliseconds;

TEST_GROUP(CrashRegister)
{
    fakes::FleetFixture fixture;

    base::Instant now() const { return fixture.clock.now(); }

    forward::ExchangeRequest requestOf(const std::string& path, uint64_t fingerprint)
    {
        auto request = fixture.makeRequest(path);
        request.fingerprint.value = fingerprint;
        return request;
    }

    // Sends the request until the exchange stops sending it; every upstream crashes while running it. Returns the
    // number of sends.
    unsigned crash(const std::string& path, uint64_t fingerprint)
    {
        forward::Exchange exchange(requestOf(path, fingerprint), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange.begin(now(), 1);
        unsigned sends = 0;
        while (step.kind == StepKind::Send) {
            ++sends;
            fixture.advance(milliseconds(20));
            step = exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), sends);
        }
        return sends;
    }

    // Lists enough upstreams in enough data centres that a few failures are not mistaken for an outage.
    void listManyUpstreams()
    {
        for (int i = 0; i < 60; ++i) {
            auto dataCentre = "dc-" + std::string(1, static_cast<char>('a' + i % 3));
            fixture.addUpstream("e" + std::to_string(i), "engines", dataCentre);
            fixture.addUpstream("d" + std::to_string(i), "desk", dataCentre);
        }
        fixture.update();
    }
};

TEST(CrashRegister, CrashingRequestIsSentThreeTimesOverAllItsRetries)
{
    listManyUpstreams();
    unsigned sends = 0;
    for (int attempt = 0; attempt < 20; ++attempt) {
        sends += crash("/book/x", 77);
        fixture.advance(milliseconds(700));
    }
    LONGS_EQUAL(forward::CrashRegister::quarantineThreshold, sends);
    forward::Exchange again(requestOf("/book/x", 77), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = again.begin(now(), 1);
    CHECK_TRUE(step.kind == StepKind::Refuse);
    CHECK_TRUE(step.code == base::ResultCode::HarmfulRequest);
    sends = 0;
    for (int attempt = 0; attempt < 20; ++attempt) {
        sends += crash("/stream/x", 78);
        fixture.advance(milliseconds(700));
    }
    LONGS_EQUAL(forward::CrashRegister::quarantineThreshold, sends);
    forward::Exchange other(requestOf("/book/x", 79), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(other.begin(now(), 1).kind == StepKind::Send);
}

TEST(CrashRegister, ProgressResetsTheCrashCount)
{
    listManyUpstreams();
    crash("/book/x", 5);
    crash("/book/x", 5);
    forward::Exchange served(requestOf("/book/x", 5), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    served.begin(now(), 1);
    served.attemptEnded(AttemptOutcome::Completed, now(), 1);
    CHECK_FALSE(fixture.crashes.requests.isSuspect({ 5 }, now()));
    crash("/stream/x", 6);
    forward::Exchange stream(requestOf("/stream/x", 8), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    stream.begin(now(), 1);
    stream.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1);
    CHECK_TRUE(fixture.crashes.requests.isSuspect({ 8 }, now()));
    stream.recordEvent(1, now());
    CHECK_FALSE(fixture.crashes.requests.isSuspect({ 8 }, now()));
}

TEST(CrashRegister, SuspectIsSentOnlyOnANewConnection)
{
    listManyUpstreams();
    forward::Exchange first(requestOf("/book/x", 5), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(first.begin(now(), 1).send.allowsReusedConnection);
    first.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1);
    forward::Exchange second(requestOf("/book/x", 5), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_FALSE(second.begin(now(), 1).send.allowsReusedConnection);
}

TEST(CrashRegister, SimultaneousCrashesCountOnce)
{
    base::Fingerprint fingerprint { 9 };
    for (int i = 0; i < 10; ++i)
        fixture.crashes.requests.recordCrash({ fingerprint, now(), now() + milliseconds(100 + i) });
    CHECK_TRUE(fixture.crashes.requests.isSuspect(fingerprint, now()));
    CHECK_FALSE(fixture.crashes.requests.isQuarantined(fingerprint, now()));
    LONGS_EQUAL(10, fixture.crashes.requests.takeReports().crashes.size());
    LONGS_EQUAL(0, fixture.crashes.requests.takeReports().crashes.size());
}

TEST(CrashRegister, DataCentreOutageQuarantinesNoRequest)
{
    CHECK_PROPERTY("crashes in one outage quarantine no request", [](uint16_t seed) {
        fakes::FleetFixture fixture;
        for (int i = 0; i < 10; ++i)
            fixture.addUpstream("e" + std::to_string(i), "engines", i < 8 ? "dc-a" : "dc-b");
        fixture.update();
        for (uint64_t fingerprint = 1; fingerprint <= 20; ++fingerprint) {
            auto request = fixture.makeRequest("/stream/x");
            request.fingerprint.value = fingerprint;
            forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
            auto step = exchange.begin(fixture.clock.now(), seed + fingerprint);
            while (step.kind == StepKind::Send && step.send.placement.target.dataCentre.text == "dc-a") {
                fixture.advance(milliseconds(1 + seed % 40));
                step = exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, fixture.clock.now(), seed * fingerprint);
            }
            RC_ASSERT(!fixture.crashes.requests.isQuarantined({ fingerprint }, fixture.clock.now()));
        }
    });
}

TEST(CrashRegister, CrashInASuspectedDataCentreIsNotCounted)
{
    fixture.addEngines();
    forward::Exchange exchange(requestOf("/stream/x", 5), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto target = exchange.begin(now(), 1).send.placement.target;
    for (const auto& instance : fixture.instances) {
        if (instance.dataCentre == target.dataCentre && instance.id != target.id)
            fixture.fleet.suspect(instance, fleet::SuspicionCause::ConnectionLost, now());
    }
    exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1);
    CHECK_FALSE(fixture.crashes.requests.isSuspect({ 5 }, now()));
}

TEST(CrashRegister, HistoriesAreBounded)
{
    for (uint64_t i = 0; i < 100'000; ++i)
        fixture.crashes.requests.applyReport(forward::CrashReport { { i }, now(), now() + milliseconds(1) });
    for (int crash = 0; crash < 3; ++crash) {
        fixture.advance(milliseconds(10));
        fixture.crashes.requests.applyReport(forward::CrashReport { { 3 }, now(), now() + milliseconds(1) });
    }
    for (uint64_t i = 200'000; i < 300'000; ++i)
        fixture.crashes.requests.applyReport(forward::CrashReport { { i }, now(), now() + milliseconds(1) });
    CHECK_TRUE(fixture.crashes.requests.isQuarantined({ 3 }, now()));
    LONGS_EQUAL(1, fixture.crashes.requests.quarantinedRequests(now()).size());
    CHECK_FALSE(fixture.crashes.requests.isQuarantined({ 3 }, now() + std::chrono::hours(2)));
}
