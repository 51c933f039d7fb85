// A node of redwingseamd stands still for a while, and the tokens of that time wait for it.

#include "fakes/Deployment.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using namespace std::chrono_literals;

TEST_GROUP(NodeStandstill)
{
    fakes::Deployment<> deployment { fakes::ClusterOptions { .seed = 5, .nodes = 1 } };
    fakes::FakeCluster<>& cluster = deployment.cluster;

    // Begins a generation that takes longer than the test, with ticks between its tokens. Returns the engine that runs it.
    size_t beginGeneration()
    {
        for (auto engine : deployment.engines)
            cluster.upstreams()[engine].tokenGap = 200ms;
        cluster.call(0, fakes::generationRequest("p", 2000));
        cluster.runFor(1s);
        LONGS_EQUAL(1, runningEngines());
        return cluster.upstreams()[deployment.engines[0]].attempts.empty() ? deployment.engines[1] : deployment.engines[0];
    }

    long runningEngines()
    {
        return std::count_if(deployment.engines.begin(), deployment.engines.end(), [&](size_t engine) { return !cluster.upstreams()[engine].attempts.empty(); });
    }

    // Returns how often the node has taken a stream for stalled.
    uint64_t suspicions() { return cluster.node(0).counters().suspicions; }

    // Returns the most engines that run the generation at a time.
    long mostRunningEnginesFor(base::Duration duration)
    {
        long most = 0;
        for (auto until = cluster.clock().now() + duration; cluster.clock().now() < until;) {
            cluster.runFor(10ms);
            most = std::max(most, runningEngines());
        }
        return most;
    }
};

TEST(NodeStandstill, StandstillIsNoStallOfAnEngine)
{
    beginGeneration();
    // Either a tick or a token is the first event after it.
    for (int i = 0; i < 10; ++i) {
        cluster.pauseNode(0, 5s);
        cluster.runFor(5s);
        LONGS_EQUAL(1, mostRunningEnginesFor(1210ms));
        LONGS_EQUAL(0, suspicions());
    }
}

TEST(NodeStandstill, EngineThatSendsNothingAfterItIsHedged)
{
    auto engine = beginGeneration();
    cluster.freezeUpstream(engine);
    cluster.pauseNode(0, 5s);
    LONGS_EQUAL(2, mostRunningEnginesFor(15s));
    LONGS_EQUAL(1, suspicions());
}

TEST(NodeStandstill, EngineThatStallsWithoutItIsHedged)
{
    auto engine = beginGeneration();
    cluster.freezeUpstream(engine);
    LONGS_EQUAL(2, mostRunningEnginesFor(10s));
}
