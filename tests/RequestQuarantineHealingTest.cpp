#include "fakes/RepeatedRequestRun.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::RepeatedRequestRun;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RequestQuarantineHealing)
{
    static constexpr unsigned always = 100;

    RepeatedRequestRun run;

    void quarantine()
    {
        for (size_t node : { 0, 1, 2 }) {
            run.send(node, always);
            run.run(milliseconds(300));
        }
        LONGS_EQUAL(run.cluster.nodes.size(), run.quarantinedNodes());
    }
};

// One upstream loses some answers. The node that the client uses repeats the lookup and serves it each time.
TEST(RequestQuarantineHealing, LookupThatIsServedAfterEachLossIsQuarantinedNowhere)
{
    for (int loss = 0; loss < 6; ++loss) {
        CHECK_TRUE(run.send(0, 1).isServed);
        run.run(milliseconds(200));
        LONGS_EQUAL(0, run.quarantinedNodes());
    }
}

// Only the request itself can prove that it is sound, so it must be sent again.
TEST(RequestQuarantineHealing, QuarantinedLookupIsServedAgainAfterTheLosses)
{
    quarantine();
    bool isServed = false;
    for (int second = 0; second < 60 && !isServed; ++second) {
        run.run(seconds(1));
        isServed = run.send(4, 0).isServed;
    }
    CHECK_TRUE(isServed);
    run.run(milliseconds(500));
    LONGS_EQUAL(0, run.quarantinedNodes());
    for (size_t node = 0; node < run.cluster.nodes.size(); ++node)
        CHECK_TRUE(run.send(node, 0).isServed);
}

// A request that crashes every upstream comes again every second, at another node each time.
TEST(RequestQuarantineHealing, HarmfulRequestReachesUpstreamsInThreeTrialsAnHour)
{
    quarantine();
    unsigned sends = 0;
    for (unsigned second = 0; second < 3000; ++second) {
        run.run(seconds(1));
        auto result = run.send(second % 5, always);
        sends += result.sends;
        CHECK_TRUE(result.sends <= 1);
        if (!result.sends)
            CHECK_TRUE(result.code == base::ResultCode::HarmfulRequest && result.retryAfter >= milliseconds(300) && result.retryAfter <= seconds(60));
    }
    LONGS_EQUAL(3, sends);
    LONGS_EQUAL(run.cluster.nodes.size(), run.quarantinedNodes());
}

// The notice of the progress reaches only nodes that are in touch.
TEST(RequestQuarantineHealing, NodeThatMissedTheProgressLearnsOfItFromItsHub)
{
    quarantine();
    const auto& absent = run.cluster.nodes[1]->record;
    run.cluster.stoppedNodes = { absent.name.text, absent.peerAddress };
    for (int second = 0; second < 60 && run.quarantinedNodes() > 1; ++second) {
        run.run(seconds(1));
        run.send(4, 0);
    }
    LONGS_EQUAL(1, run.quarantinedNodes());
    run.run(seconds(5));
    run.cluster.stoppedNodes.clear();
    run.run(seconds(1));
    LONGS_EQUAL(0, run.quarantinedNodes());
}

// An upstream that answers that it failed may not have got to what crashes others.
TEST(RequestQuarantineHealing, FailureResponseDoesNotEndAQuarantine)
{
    forward::CrashRegister requests;
    base::Instant now { seconds(100) };
    for (int i = 0; i < 3; ++i) {
        requests.recordCrash({ { 7 }, now, now + milliseconds(50) });
        now += seconds(1);
    }
    requests.recordFailureResponse({ 7 });
    CHECK_TRUE(requests.isQuarantined({ 7 }, now));
}

// The upstream that a trial reached was full.
TEST(RequestQuarantineHealing, TrialThatWasNotRunIsRepeatedSoon)
{
    quarantine();
    run.run(seconds(30));
    auto& requests = run.cluster.nodes[0]->crashes.requests;
    CHECK_TRUE(requests.tryBeginTrial(RepeatedRequestRun::fingerprint, run.cluster.now));
    CHECK_FALSE(requests.isTrialDue(RepeatedRequestRun::fingerprint, run.cluster.now));
    requests.cancelTrial(RepeatedRequestRun::fingerprint, run.cluster.now);
    CHECK_TRUE(requests.isTrialDue(RepeatedRequestRun::fingerprint, run.cluster.now));
}
