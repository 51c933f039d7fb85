// Before its first event a stream has no version yet. Two attempts of which either may bring it must be of one version: the record by
// which other nodes take the stream up names one of them.

#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::Step;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(KeptVersion)
{
    fakes::FleetFixture fixture;

    base::Instant now() const { return fixture.clock.now(); }
};

TEST(KeptVersion, RecordOfAStreamDoesNotNameAnotherVersionThanItsKeptAttempt)
{
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e2", "engines", "dc-b", 1, {}, "v2");
    fixture.update();
    auto request = fixture.makeRequest("/stream/x");
    request.attempt = { "s1" };
    forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto begun = exchange.begin(now(), 1);
    CHECK_TRUE(begun.kind == StepKind::Send);
    exchange.recordActivity(now());
    Step step;
    for (auto until = now() + seconds(5); now() < until && step.kind != StepKind::Send;) {
        fixture.advance(milliseconds(20));
        step = exchange.tick(now(), 1);
        if (step.kind == StepKind::Probe)
            step = exchange.probeEnded(false, now(), 1);
    }
    if (!exchange.isAttemptKept())
        return;
    auto recorded = fixture.origins.find({ { "s1" } });
    LONGS_EQUAL(1, recorded.size());
    STRCMP_EQUAL(begun.send.placement.target.version.text.c_str(), recorded.front().origin.version.text.c_str());
}
