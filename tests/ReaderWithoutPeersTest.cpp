// The only node that reads the store is cut off from the others, and begins streams at upstreams that they don't know yet.

#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ReaderWithoutPeers)
{
    FakePeerCluster cluster;

    void setup() override
    {
        for (const char* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
            for (const char* name : { "1", "2", "3", "4" })
                cluster.add(dataCentre + std::string("-") + name, dataCentre);
        }
        for (const auto& node : cluster.nodes)
            give(*node, 10);
        cluster.shareNodeList();
        cluster.run(seconds(2));
    }
    void give(PeerNode & node, uint64_t revision)
    {
        auto list = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, revision }, PeerNode::fleetList() });
        node.upstreamCache.update({ list, cluster.now, {} });
        node.fleet.update(list->upstreams, cluster.now, {});
    }
    PeerNode& leader()
    {
        for (const auto& node : cluster.nodes) {
            if (node->role.isLeader())
                return *node;
        }
        FAIL("no leader");
        return *cluster.nodes.front();
    }
};

TEST(ReaderWithoutPeers, OtherNodesDoNotVouchForAListOlderThanItsOwn)
{
    auto& reader = leader();
    cluster.stoppedNodes.insert(reader.record.name.text);
    give(reader, 11);
    cluster.run(milliseconds(500));
    auto& node = *cluster.nodes.back();
    auto arrivedAt = cluster.now;
    for (auto end = cluster.now + seconds(1); cluster.now < end; cluster.run(milliseconds(10))) {
        node.origins.listCurrency().requestCheck(arrivedAt, cluster.now);
        CHECK_FALSE(node.origins.listCurrency().covers(arrivedAt));
    }
}
