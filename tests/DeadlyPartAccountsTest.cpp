#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FleetFixture;
using std::chrono::milliseconds;

TEST_GROUP(DeadlyPartAccounts)
{
    FleetFixture fixture;

    void setup() override { fixture.addEngines(); }

    forward::ExchangeRequest requestOf(const std::string& account)
    {
        auto request = fixture.makeRequest("/stream/x");
        request.client = { account };
        request.promptParts = { { 300 } };
        return request;
    }

    // Returns whether the request reached an upstream, which crashed.
    bool crashUpstream(const std::string& account)
    {
        forward::Exchange exchange(requestOf(account), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        bool isSent = exchange.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send;
        fixture.advance(milliseconds(1600));
        if (isSent)
            exchange.attemptEnded(forward::AttemptOutcome::LostDuringResponse, fixture.clock.now(), 1);
        fixture.advance(milliseconds(100));
        return isSent;
    }
};

// A part that is deadly whoever names it must not crash one upstream for each account.
TEST(DeadlyPartAccounts, PartThatCrashesRequestsOfTwoAccountsIsRefusedToOthers)
{
    CHECK_TRUE(crashUpstream("first"));
    CHECK_TRUE(crashUpstream("first"));
    CHECK_TRUE(crashUpstream("second"));
    for (const char* account : { "first", "second", "third", "fourth" })
        CHECK_FALSE(crashUpstream(account));
}

TEST(DeadlyPartAccounts, RequestsOfOtherAccountsAreTriedOneAtATime)
{
    crashUpstream("hostile");
    crashUpstream("hostile");
    forward::Exchange first(requestOf("second"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    forward::Exchange other(requestOf("third"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(first.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
    CHECK_TRUE(other.begin(fixture.clock.now(), 1).code == base::ResultCode::HarmfulRequest);
    first.recordEvent(1, fixture.clock.now());
    forward::Exchange next(requestOf("third"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(next.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
}
