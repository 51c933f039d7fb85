// This process stands still for a while, and judges the others by a time in which it received nothing itself.

#include "membership/HeartbeatMonitor.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using std::chrono::seconds;

TEST_GROUP(Standstill)
{
    const std::vector<base::VmName> ring { { "a" }, { "b" }, { "c" } };
    membership::HeartbeatMonitor monitor { { "b" }, seconds(4) };
    base::Instant now { seconds(100) };

    // Receives heartbeats and checks them once a second.
    void runInStep(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            now += seconds(1);
            monitor.onHeartbeat({ "a" }, now);
            monitor.onHeartbeat({ "c" }, now);
            LONGS_EQUAL(0, monitor.findTimedOut(ring, now).size());
        }
    }
};

// The heartbeats of that time lie in the sockets.
TEST(Standstill, OtherNodesAreNotTakenForGone)
{
    runInStep(5);
    now += seconds(10);
    LONGS_EQUAL(0, monitor.findTimedOut(ring, now).size());
}

TEST(Standstill, NodeThatSendsNothingAfterItIsTakenForGone)
{
    runInStep(5);
    now += seconds(10);
    monitor.findTimedOut(ring, now);
    for (int i = 0; i < 6; ++i) {
        now += seconds(1);
        monitor.onHeartbeat({ "a" }, now);
        monitor.findTimedOut(ring, now);
    }
    auto gone = monitor.findTimedOut(ring, now);
    LONGS_EQUAL(1, gone.size());
    STRCMP_EQUAL("c", gone.front().text.c_str());
}
