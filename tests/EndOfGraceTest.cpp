#include "fakes/GatewayFixture.h"
#include "gateway/GracefulStop.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using std::chrono::milliseconds;

TEST_GROUP(EndOfGrace)
{
    fakes::GatewayFixture gateway;
};

TEST(EndOfGrace, LatestRequestHasItsExpectedDurationUntilTheProcessEnds)
{
    auto index = gateway.state.manifest.state().index;
    const auto* route = index->route("h", "/book/x");
    auto end = gateway.state.settings.terminationGrace - gateway::StopTimes {}.exitReserve;
    CHECK_TRUE(gateway.state.drain.latestStart(*route, {}) + std::min<base::Duration>(milliseconds(1000), route->timeout) <= end);
}

TEST(EndOfGrace, RequestThatWasNotRunAndWaitsForAnUpstreamIsRefused)
{
    fakes::FleetFixture fixture;
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
    CHECK_TRUE(exchange.attemptEnded(forward::AttemptOutcome::NotConnected, fixture.clock.now(), 1).kind == forward::StepKind::Wait);
    CHECK_TRUE(exchange.stopWaiting().kind == forward::StepKind::Refuse);
}
