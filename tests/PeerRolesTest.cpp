#include "fakes/FakePeerCluster.h"
#include "sync/PollSchedule.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;

TEST_GROUP(PeerRoles)
{
    FakePeerCluster cluster;
};

TEST(PeerRoles, EachDataCentreHasOneHubWithFailover)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& a3 = cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    CHECK_TRUE(a1.role.isHub() && !a2.role.isHub() && !a3.role.isHub());
    cluster.stoppedNodes.insert("a1");
    cluster.run(milliseconds(2000));
    CHECK_TRUE(a2.role.isHub() && !a3.role.isHub());
    cluster.stoppedNodes.clear();
    cluster.run(milliseconds(3000));
    CHECK_TRUE(a1.role.isHub() && !a2.role.isHub() && !a3.role.isHub());
}

TEST(PeerRoles, OnlyTheLeaderQueriesTheStoreUntilReplicatedStateIsTooOld)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& b1 = cluster.add("b1", "dc-b");
    auto& b2 = cluster.add("b2", "dc-b");
    cluster.shareNodeList();
    cluster.run(milliseconds(1500));
    CHECK_TRUE(a1.role.isLeader() && !a2.role.isLeader() && !b1.role.isLeader() && !b2.role.isLeader());
    CHECK_TRUE(b1.role.isHub());
    CHECK_FALSE(b1.role.shouldQueryStore(milliseconds(2000), milliseconds(3000)));
    CHECK_TRUE(b1.role.shouldQueryStore(milliseconds(2300), milliseconds(3000)));
    cluster.stoppedNodes = { "a1", "a2" };
    cluster.run(milliseconds(2500));
    CHECK_TRUE(b1.role.isLeader() && !b2.role.isLeader());
}

TEST(PeerRoles, FewNodesOfADataCentreQueryAStoreInTrouble)
{
    // Replays a store that refuses all calls: 195 nodes made thousands of calls in a few seconds.
    for (int i = 0; i < 30; ++i)
        cluster.add("a" + std::to_string(100 + i), "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1500));
    unsigned queriers = 0;
    for (const auto& node : cluster.nodes)
        queriers += node->role.shouldQueryStore(milliseconds(4000), milliseconds(5000));
    LONGS_EQUAL(3, queriers);
    // Without usable state each node tries for itself, though at long intervals.
    for (const auto& node : cluster.nodes)
        CHECK_TRUE(node->role.shouldQueryStore(milliseconds(5100), milliseconds(5000)));
    sync::PollSchedule schedule(milliseconds(600), milliseconds(300));
    CHECK_TRUE(schedule.pauseAfter(false, false, 0) >= milliseconds(3000));
    CHECK_TRUE(schedule.pauseAfter(false, true, 0) <= milliseconds(300));
    CHECK_TRUE(schedule.pauseAfter(true, false, 0) <= milliseconds(600));
}

TEST(PeerRoles, StateThatOnlyADeputyCanReadReachesItsNeighbours)
{
    // Replays a store that turns the hub away and serves another node of its data centre.
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& a3 = cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1500));
    CHECK_TRUE(a1.role.isHub() && a2.role.isDeputy());
    auto readAt = cluster.now;
    a2.confirm(7, readAt);
    a2.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 3 }, PeerNode::fleetList() }), readAt, {} });
    cluster.run(milliseconds(1000));
    for (auto* node : { &a1, &a3 }) {
        CHECK_TRUE(node->manifest.state().index != nullptr);
        CHECK_TRUE(node->manifest.state().confirmedAt <= readAt);
        CHECK_TRUE(node->upstreamCache.snapshot().has_value());
    }
}

TEST(PeerRoles, StartingNodeReceivesStateImmediately)
{
    auto& a1 = cluster.add("a1", "dc-a");
    cluster.add("a2", "dc-a");
    auto& b1 = cluster.add("b1", "dc-b");
    cluster.shareNodeList();
    a1.confirm(7, cluster.now);
    a1.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 3 }, PeerNode::fleetList() }), cluster.now, {} });
    cluster.run(milliseconds(1500));
    CHECK_TRUE(b1.manifest.state().index != nullptr);
    // The entry of each new node is in the store, but the other nodes may not know it yet.
    for (const auto& [name, dataCentre] : std::map<std::string, std::string> { { "a3", "dc-a" }, { "b2", "dc-b" }, { "c1", "dc-c" } }) {
        auto& newNode = cluster.add(name, dataCentre);
        cluster.run(milliseconds(75));
        std::vector<sync::NodeRecord> all;
        for (const auto& node : cluster.nodes)
            all.push_back(node->record);
        newNode.sync.setNodes(all);
        CHECK_FALSE(newNode.sync.isFirstKnownNode());
        cluster.run(milliseconds(120));
        CHECK_TRUE(newNode.manifest.state().index != nullptr);
        CHECK_TRUE(newNode.upstreamCache.snapshot().has_value());
        CHECK_FALSE(newNode.role.isLeader());
    }
    CHECK_TRUE(a1.sync.isFirstKnownNode());
}

TEST(PeerRoles, NodesThatStartTogetherEachReceiveTheListAboutOnce)
{
    for (const char* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
        for (int i = 1; i <= 6; ++i)
            cluster.add(dataCentre + std::to_string(i), dataCentre);
    }
    auto& leader = *cluster.nodes.front();
    leader.confirm(7, cluster.now);
    auto list = PeerNode::fleetList();
    for (int i = 0; i < 300; ++i)
        list.push_back({ { "upstream-" + std::to_string(i) }, { "engines" }, "127.0.0.1:1", { "dc-a" }, 1, 6, false });
    leader.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 3 }, list }), cluster.now, {} });
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    cluster.bytesSent = 0;
    for (const char* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
        for (int i = 7; i <= 9; ++i)
            cluster.add(dataCentre + std::to_string(i), dataCentre);
    }
    cluster.shareNodeList();
    cluster.run(milliseconds(300));
    auto fullListBytes = replication::formatMessage(replication::StateReply { .list = sync::UpstreamList { { 1, 3 }, list } }, cluster.now).size();
    for (const auto& node : cluster.nodes)
        CHECK_TRUE_TEXT(node->upstreamCache.snapshot().has_value(), node->record.name.text.c_str());
    CHECK_TRUE_TEXT(cluster.bytesSent < 2 * fullListBytes * 9, std::to_string(cluster.bytesSent / fullListBytes).c_str());
}

TEST(PeerRoles, ThreeHundredNodesThatStartTogetherHaveStateWithinThreeSeconds)
{
    // Replays the restart of all processes. The list of nodes is in the store, and only the first node has read the state.
    for (int dataCentre = 0; dataCentre < 6; ++dataCentre) {
        for (int i = 0; i < 50; ++i)
            cluster.add("n" + std::to_string(100 * (dataCentre + 1) + i), "dc-" + std::to_string(dataCentre));
    }
    cluster.delay = milliseconds(30);
    cluster.run(milliseconds(100));
    cluster.shareNodeList();
    cluster.run(milliseconds(300));
    auto& first = *cluster.nodes.front();
    first.confirm(7, cluster.now);
    first.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 3 }, PeerNode::fleetList() }), cluster.now, {} });
    cluster.run(milliseconds(2600));
    unsigned leaders = 0;
    for (const auto& node : cluster.nodes) {
        CHECK_TRUE_TEXT(node->manifest.state().index != nullptr, node->record.name.text.c_str());
        CHECK_TRUE_TEXT(node->upstreamCache.snapshot().has_value(), node->record.name.text.c_str());
        leaders += node->role.isLeader();
    }
    LONGS_EQUAL(1, leaders);
}

TEST(PeerRoles, OutdatedNodeListRemovesNoLiveNode)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    CHECK_FALSE(a2.role.isLeader());
    a2.sync.setNodes({ a2.record });
    cluster.run(milliseconds(60));
    CHECK_FALSE(a2.role.isLeader());
    CHECK_TRUE(a1.role.isLeader());
}

TEST(PeerRoles, AllNodesAgreeOnTheNodeCountDespitePartialLists)
{
    std::vector<sync::NodeRecord> registered;
    for (const char* dataCentre : { "dc-c", "dc-a", "dc-b" }) {
        for (int i = 1; i <= 4; ++i) {
            auto& node = cluster.add(dataCentre + std::to_string(i), dataCentre);
            registered.push_back(node.record);
            node.sync.setNodes(registered);
        }
    }
    cluster.run(milliseconds(3000));
    for (const auto& node : cluster.nodes)
        LONGS_EQUAL_TEXT(12, node->fleet.nodeCount(), node->record.name.text.c_str());
}
