#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>
#include <sys/resource.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

TEST_GROUP(DescriptorScarcity)
{
    GatewayFixture gateway;
};

TEST(DescriptorScarcity, UpstreamsAreNotReportedAsUnreachable)
{
    ScriptedUpstream first({ { GatewayFixture::ok("ok") } });
    ScriptedUpstream second({ { GatewayFixture::ok("ok") } });
    gateway.addUpstream("d1", "desk", first);
    gateway.addUpstream("d2", "desk", second, "dc-b");
    auto client = gateway.connectClient();
    poll(nullptr, 0, 50);
    rlimit previous {};
    getrlimit(RLIMIT_NOFILE, &previous);
    rlimit none { 1, previous.rlim_max };
    setrlimit(RLIMIT_NOFILE, &none);
    GatewayFixture::write(client, GatewayFixture::post("/book/x", "b"));
    auto response = GatewayFixture::read(client, "\r\n\r\n", 1000);
    setrlimit(RLIMIT_NOFILE, &previous);
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 503 "), response.c_str());
    LONGS_EQUAL(0, gateway.state.fleet.takeSuspicionReports().size());
}

TEST(DescriptorScarcity, RequestWaitsAndIsSentOnceThereAreResources)
{
    fakes::FleetFixture fixture;
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
    CHECK_TRUE(exchange.attemptNotStarted(fixture.clock.now()).kind == forward::StepKind::Wait);
    LONGS_EQUAL(0, exchange.sends());
    LONGS_EQUAL(0, fixture.totalLoad().requests);
    fixture.advance(std::chrono::milliseconds(20));
    auto step = exchange.tick(fixture.clock.now(), 1);
    CHECK_TRUE(step.kind == forward::StepKind::Send);
    CHECK_TRUE(step.send.allowsReusedConnection);
    LONGS_EQUAL(0, fixture.fleet.takeSuspicionReports().size());
}

TEST(DescriptorScarcity, RequestIsRefusedAsNotRunIfResourcesRemainScarce)
{
    fakes::FleetFixture fixture;
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(fixture.clock.now(), 1);
    for (int i = 0; i < 100 && (step.kind == forward::StepKind::Send || step.kind == forward::StepKind::Wait); ++i) {
        if (step.kind == forward::StepKind::Send)
            step = exchange.attemptNotStarted(fixture.clock.now());
        if (step.kind != forward::StepKind::Wait)
            break;
        fixture.advance(std::chrono::milliseconds(20));
        step = exchange.tick(fixture.clock.now(), 1);
    }
    CHECK_TRUE(step.kind == forward::StepKind::Refuse);
    CHECK_TRUE(step.code == base::ResultCode::NoUpstream);
    LONGS_EQUAL(0, fixture.fleet.takeSuspicionReports().size());
}

TEST(DescriptorScarcity, ProbeThatCannotBeSentProvesNothing)
{
    fakes::FleetFixture fixture;
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
    exchange.recordActivity(fixture.clock.now());
    unsigned probes = 0;
    for (int i = 0; i < 300 && probes < 2; ++i) {
        fixture.advance(std::chrono::milliseconds(20));
        auto step = exchange.tick(fixture.clock.now(), 1);
        CHECK_TRUE(step.kind == forward::StepKind::Wait || step.kind == forward::StepKind::Probe);
        if (step.kind == forward::StepKind::Probe) {
            ++probes;
            exchange.probeNotStarted();
        }
    }
    LONGS_EQUAL(2, probes);
    LONGS_EQUAL(0, fixture.fleet.takeSuspicionReports().size());
}
