#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;
using std::chrono::minutes;

// Which nodes a hub takes for gone, so that their entries are deleted.
TEST_GROUP(GoneNodes)
{
    FakePeerCluster cluster;

    // Time passes in steps, in which the nodes exchange messages as far as it matters here.
    void runFor(base::Duration duration)
    {
        for (auto end = cluster.now + duration; cluster.now < end; cluster.now += milliseconds(300))
            cluster.run(milliseconds(50));
    }

    static std::vector<std::string> gone(PeerNode & node)
    {
        std::vector<std::string> names;
        for (const auto& item : node.sync.goneNodes())
            names.push_back(item.name.text);
        return names;
    }
};

TEST(GoneNodes, HubTellsWhichNeighboursHaveBeenSilentForLong)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    runFor(minutes(1));
    cluster.stoppedNodes = { "a3" };
    runFor(minutes(14));
    CHECK_TRUE(gone(a1).empty());
    runFor(minutes(2));
    CHECK_TRUE(gone(a1) == std::vector<std::string> { "a3" });
    CHECK_TRUE(gone(a2).empty());
    cluster.stoppedNodes.clear();
    runFor(std::chrono::seconds(2));
    CHECK_TRUE(gone(a1).empty());
}

TEST(GoneNodes, NodesOfOtherDataCentresAreLeftToTheirHub)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& b1 = cluster.add("b1", "dc-b");
    cluster.add("b2", "dc-b");
    cluster.shareNodeList();
    cluster.stoppedNodes = { "b2" };
    runFor(minutes(16));
    CHECK_TRUE(gone(a1).empty());
    CHECK_TRUE(gone(b1) == std::vector<std::string> { "b2" });
}

// Guards against a hub whose own link is cut, and which then deletes the entries of all others.
TEST(GoneNodes, HubThatHearsNobodyTakesNobodyForGone)
{
    auto& a1 = cluster.add("a1", "dc-a");
    cluster.add("a2", "dc-a");
    cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    runFor(minutes(1));
    cluster.stoppedNodes = { "a2", "a3" };
    runFor(minutes(40));
    CHECK_TRUE(gone(a1).empty());
    // The first of them that is heard again says nothing about the other.
    cluster.stoppedNodes = { "a3" };
    runFor(minutes(14));
    CHECK_TRUE(gone(a1).empty());
    runFor(minutes(2));
    CHECK_TRUE(gone(a1) == std::vector<std::string> { "a3" });
}

// Guards against a hub that stood still and finds that it has heard nobody for long.
TEST(GoneNodes, TimeInWhichTheHubStoodStillDoesNotCount)
{
    auto& a1 = cluster.add("a1", "dc-a");
    cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    runFor(minutes(1));
    cluster.now += minutes(60);
    a1.sync.tick(cluster.now);
    CHECK_TRUE(gone(a1).empty());
    runFor(std::chrono::seconds(10));
    CHECK_TRUE(gone(a1).empty());
}

// A neighbour that takes another node for the hub does not query this one, but answers it.
TEST(GoneNodes, NeighbourThatAnswersAQueryIsNotGone)
{
    auto& a1 = cluster.add("a1", "dc-a");
    cluster.add("b1", "dc-b");
    cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    cluster.passiveNodes = { "a2" };
    for (int i = 0; i < 30; ++i) {
        runFor(minutes(1));
        CHECK_TRUE(gone(a1).empty());
    }
    cluster.stoppedNodes = { "a2" };
    runFor(minutes(16));
    CHECK_TRUE(gone(a1) == std::vector<std::string> { "a2" });
}

// Guards against nodes that report one another the entries that have been deleted.
TEST(GoneNodes, RemovedNodeIsNotLearnedAgainFromOthers)
{
    auto& a1 = cluster.add("a1", "dc-a");
    cluster.add("a2", "dc-a");
    cluster.add("b1", "dc-b");
    cluster.add("b2", "dc-b");
    auto& dead = cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    cluster.stoppedNodes = { "a3" };
    runFor(minutes(16));
    a1.sync.recordRemoval(dead.record);
    CHECK_TRUE(gone(a1).empty());
    auto bytesBefore = cluster.bytesSent;
    runFor(minutes(1));
    CHECK_TRUE(gone(a1).empty());
    LONGS_EQUAL(4, a1.fleet.nodeCount());
    // Nor do they send it their lists of nodes all the time.
    CHECK_TRUE(cluster.bytesSent - bytesBefore < 1'000'000);
    // A machine that comes back is known again.
    cluster.stoppedNodes.clear();
    runFor(std::chrono::seconds(5));
    LONGS_EQUAL(5, a1.fleet.nodeCount());
}
