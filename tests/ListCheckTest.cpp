// A node must not speak for the versions of upstreams by a list that is older than that of other nodes.

#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ListCheck)
{
    FakePeerCluster cluster;

    // Two nodes in each of three data centres, all with the same list.
    void addNodes()
    {
        for (const char* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
            for (const char* name : { "1", "2" })
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
    // Returns whether a check that is requested now succeeds within `duration`. Take-ups request it all the time.
    bool isCurrentWithin(PeerNode & node, base::Duration duration)
    {
        auto arrivedAt = cluster.now;
        for (auto end = cluster.now + duration; cluster.now < end; cluster.run(milliseconds(10))) {
            if (hasCheckFrom(node, arrivedAt))
                return true;
            node.origins.listCurrency().requestCheck(arrivedAt, cluster.now);
        }
        return hasCheckFrom(node, arrivedAt);
    }
    static bool hasCheckFrom(PeerNode & node, base::Instant arrivedAt) { return node.origins.listCurrency().covers(arrivedAt); }
    void stop(const std::vector<std::string>& names)
    {
        cluster.stoppedNodes.insert(names.begin(), names.end());
    }
};

// The store is away: no list is confirmed.
TEST(ListCheck, NodesInStepAgreeWithinARoundTrip)
{
    addNodes();
    for (const auto& node : cluster.nodes)
        CHECK_TRUE(isCurrentWithin(*node, milliseconds(100)));
}

TEST(ListCheck, NodeWithAnOlderListWaitsUntilItHasCaughtUp)
{
    addNodes();
    auto& node = *cluster.nodes.back();
    // The list arrives with the next query of the hub, after the reply to the check.
    give(*cluster.nodes.front(), 11);
    auto arrivedAt = cluster.now;
    while (!hasCheckFrom(node, arrivedAt)) {
        node.origins.listCurrency().requestCheck(arrivedAt, cluster.now);
        cluster.run(milliseconds(1));
        CHECK_TRUE(cluster.now - arrivedAt < seconds(2));
    }
    LONGS_EQUAL(11, node.upstreamCache.snapshot()->list->version.revision);
}

TEST(ListCheck, NodeThatIsCutOffDoesNotSpeakForTheOthers)
{
    addNodes();
    stop({ "dc-a-1", "dc-a-2", "dc-b-1", "dc-b-2", "dc-c-1" });
    CHECK_FALSE(isCurrentWithin(*cluster.nodes.back(), seconds(3)));
}

TEST(ListCheck, DataCentreThatIsCutOffDoesNotSpeakForTheOthers)
{
    addNodes();
    stop({ "dc-a-1", "dc-a-2", "dc-b-1", "dc-b-2" });
    CHECK_FALSE(isCurrentWithin(*cluster.nodes.back(), seconds(3)));
}

TEST(ListCheck, LossOfHalfOfTheNodesDoesNotKeepTheOthersFromAgreeing)
{
    addNodes();
    stop({ "dc-a-1", "dc-b-1", "dc-c-1" });
    // One of those that are gone read the store for the others, and may have known a newer list.
    CHECK_FALSE(isCurrentWithin(*cluster.nodes.back(), seconds(1)));
    auto& nextReader = *cluster.nodes[1];
    CHECK_TRUE(nextReader.role.isLeader());
    // The check that began without it ends.
    cluster.run(seconds(1));
    give(nextReader, 10);
    CHECK_TRUE(isCurrentWithin(*cluster.nodes.back(), milliseconds(500)));
}

TEST(ListCheck, NodeThatHasNotLearnedOfTheOthersDoesNotSpeakForThem)
{
    auto& node = cluster.add("dc-a-1", "dc-a");
    give(node, 10);
    cluster.run(seconds(1));
    CHECK_FALSE(isCurrentWithin(node, seconds(3)));
    // It is the only one.
    cluster.shareNodeList();
    CHECK_TRUE(isCurrentWithin(node, milliseconds(200)));
}

TEST(ListCheck, ManyTakeUpsAreServedByOneCheck)
{
    addNodes();
    auto& node = *cluster.nodes.back();
    static constexpr unsigned takeUps = 1000;
    for (unsigned i = 0; i < takeUps; ++i)
        node.origins.listCurrency().requestCheck(cluster.now, cluster.now);
    size_t queries = 0;
    for (const auto& item : node.sync.tick(cluster.now)) {
        const auto* query = std::get_if<replication::OriginQuery>(&item.message);
        queries += query && query->listCheck;
    }
    LONGS_EQUAL(cluster.nodes.size() - 1, queries);
}

// Others may have read the store for the nodes meanwhile.
TEST(ListCheck, ReaderThatStoodStillDoesNotVouchForItsList)
{
    addNodes();
    auto& reader = *cluster.nodes.front();
    CHECK_TRUE(isCurrentWithin(reader, milliseconds(100)));
    cluster.now += seconds(1);
    CHECK_FALSE(isCurrentWithin(reader, milliseconds(500)));
    give(reader, 10);
    CHECK_TRUE(isCurrentWithin(reader, milliseconds(500)));
}

TEST(ListCheck, TakeUpsThatArriveAllTheTimeCauseFewChecks)
{
    addNodes();
    auto& node = *cluster.nodes.back();
    size_t queries = 0;
    for (auto end = cluster.now + seconds(1); cluster.now < end; cluster.now += milliseconds(50)) {
        node.origins.listCurrency().requestCheck(cluster.now, cluster.now);
        for (const auto& item : node.sync.tick(cluster.now)) {
            const auto* query = std::get_if<replication::OriginQuery>(&item.message);
            queries += query && query->listCheck;
            if (query)
                cluster.send({ item });
        }
        cluster.deliverArrived();
    }
    CHECK_TRUE(queries > 0 && queries <= 5 * (cluster.nodes.size() - 1));
}

// A reply that belongs to a check from before the take-up tells nothing of it.
TEST(ListCheck, LateReplyToAnEarlierCheckIsNotUsed)
{
    replication::ListCheck check;
    sync::NodeRecord self { { "a" }, { "dc" }, "a" };
    sync::NodeRecord other { { "b" }, { "dc" }, "b" };
    base::Instant now(seconds(100));
    check.begin(self, false, { other }, now);
    auto earlier = check.sequence();
    check.end();
    check.begin(self, false, { other }, now + seconds(1));
    check.recordReply({ other, {}, earlier, { 1, 10 }, true });
    CHECK_FALSE(check.hasSucceeded({ 1, 10 }, now + seconds(2)));
    check.recordReply({ other, {}, check.sequence(), { 1, 10 }, true });
    CHECK_TRUE(check.hasSucceeded({ 1, 10 }, now + seconds(2)));
    CHECK_FALSE(check.hasSucceeded({ 1, 9 }, now + seconds(2)));
}
