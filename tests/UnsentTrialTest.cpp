#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(UnsentTrial)
{
    fakes::FleetFixture fixture;
    std::vector<base::PromptPartHash> parts { { 7 } };

    base::Instant now() const { return fixture.clock.now(); }

    forward::ExchangeRequest request()
    {
        auto request = fixture.makeRequest("/book/x");
        request.promptParts = parts;
        return request;
    }
};

TEST(UnsentTrial, TrialThatReachedNoUpstreamIsGivenToTheNextRequest)
{
    for (uint64_t i = 0; i < 3; ++i) {
        fixture.crashes.parts.recordCrash({ 0, { 100 + i }, { "e" + std::to_string(i) }, parts, now(), now() }, now());
        fixture.advance(milliseconds(100));
    }
    CHECK_TRUE(fixture.crashes.parts.isQuarantined(parts));
    fixture.advance(seconds(20));
    {
        forward::Exchange unsent(request(), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        CHECK_TRUE(unsent.begin(now(), 1).kind == StepKind::Wait);
        CHECK_TRUE(unsent.stopWaiting().kind == StepKind::Refuse);
    }
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    fixture.advance(milliseconds(100));
    forward::Exchange next(request(), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(next.begin(now(), 1).kind == StepKind::Send);
}

// The node lacks the descriptors to connect for a moment, so the trial goes out a little later.
TEST(UnsentTrial, TrialThatLackedResourcesIsSentOnceThereAreSome)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    base::Fingerprint fingerprint { 77 };
    for (int i = 0; i < 3; ++i) {
        fixture.crashes.requests.recordCrash({ fingerprint, now(), now() });
        fixture.advance(milliseconds(100));
    }
    fixture.advance(seconds(20));
    auto quarantined = request();
    quarantined.promptParts.clear();
    quarantined.fingerprint = fingerprint;
    forward::Exchange trial(quarantined, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(trial.begin(now(), 1).kind == StepKind::Send);
    CHECK_TRUE(trial.attemptNotStarted(now()).kind == StepKind::Wait);
    fixture.advance(milliseconds(20));
    CHECK_TRUE(trial.tick(now(), 1).kind == StepKind::Send);
}
