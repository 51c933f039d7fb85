#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;

TEST_GROUP(RestoredStorePeers)
{
    FakePeerCluster cluster;
    PeerNode& hub { cluster.add("a1", "dc-a") };
    PeerNode& neighbour { cluster.add("a2", "dc-a") };
    std::vector<fleet::UpstreamInstance> all { PeerNode::fleetList() };

    void setup() override
    {
        cluster.shareNodeList();
        cluster.run(milliseconds(500));
    }

    void publish(PeerNode & node, sync::StoreVersion version, const std::vector<fleet::UpstreamInstance>& upstreams, base::Duration grace = {})
    {
        auto list = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { version, upstreams });
        CHECK_TRUE(node.upstreamCache.update({ list, cluster.now, grace }));
        node.fleet.update(upstreams, cluster.now, grace);
    }
};

// Guards against nodes that keep the list of the earlier era because its revision is higher.
TEST(RestoredStorePeers, ListOfTheNewEraReplacesOneWithAHigherRevision)
{
    publish(hub, { 1, 9 }, all);
    cluster.run(milliseconds(500));
    publish(hub, { 2, 4 }, { all.front() });
    cluster.run(milliseconds(500));
    CHECK_TRUE(neighbour.upstreamCache.snapshot()->list->version == (sync::StoreVersion { 2, 4 }));
    LONGS_EQUAL(1, neighbour.upstreamCache.snapshot()->list->upstreams.size());
}

// Guards against a delta from a revision that the neighbour holds in another era.
TEST(RestoredStorePeers, DeltaIsNotAppliedToTheSameRevisionOfAnotherEra)
{
    publish(hub, { 1, 9 }, all);
    cluster.run(milliseconds(500));
    cluster.stoppedNodes.insert("a2");
    publish(hub, { 2, 8 }, { all.front() });
    publish(hub, { 2, 9 }, { all.front() });
    auto draining = all.front();
    draining.isDraining = true;
    publish(hub, { 2, 10 }, { draining });
    cluster.stoppedNodes.clear();
    cluster.run(milliseconds(1000));
    const auto& list = *neighbour.upstreamCache.snapshot()->list;
    CHECK_TRUE(list.version == (sync::StoreVersion { 2, 10 }));
    CHECK_TRUE(list.upstreams == std::vector<fleet::UpstreamInstance> { draining });
}

// Guards against lists that are taken for equal because their revisions are.
TEST(RestoredStorePeers, SameRevisionOfAnotherEraIsAnotherList)
{
    publish(hub, { 1, 9 }, all);
    cluster.run(milliseconds(500));
    publish(hub, { 2, 9 }, { all.front() });
    cluster.run(milliseconds(500));
    LONGS_EQUAL(1, neighbour.upstreamCache.snapshot()->list->upstreams.size());
}

// Guards against a rollout in which nodes of the release before get the full list each time, or none.
TEST(RestoredStorePeers, MessageWithoutAnEraIsComparedWithinTheEraOfItsReceiver)
{
    publish(hub, { 2, 9 }, all);
    // The release before has neither the era nor the `newerFields` before it.
    auto bytesWithoutEra = [&](const replication::Message& message, size_t newerFields) {
        auto fields = nlohmann::json::from_cbor(replication::formatMessage(message, cluster.now));
        fields.erase(fields.end() - static_cast<std::ptrdiff_t>(newerFields + 1), fields.end());
        std::string bytes;
        nlohmann::json::to_cbor(fields, bytes);
        return bytes;
    };
    replication::StateQuery query;
    query.sequence = 1;
    query.from = neighbour.record;
    for (uint64_t revision : { 8, 9 }) {
        query.listVersion = { 7, revision };
        auto read = replication::parseMessage(bytesWithoutEra(query, 2), cluster.now);
        CHECK_TRUE(read.has_value());
        auto outgoing = hub.sync.handle(*read, cluster.now);
        auto reply = std::get<replication::StateReply>(outgoing.front().message);
        CHECK_EQUAL(revision == 8, reply.list.has_value());
        auto readReply = replication::parseMessage(bytesWithoutEra(reply, 3), cluster.now);
        CHECK_TRUE(readReply.has_value());
        CHECK_FALSE(std::get<replication::StateReply>(*readReply).hasEra);
    }
    CHECK_TRUE(hub.era.current() == std::nullopt);
}

// Guards against upstreams that a node gives up after a restore since its own list is too young for entries to have expired.
TEST(RestoredStorePeers, GraceForMissingEntriesIsAdoptedAfterARestore)
{
    publish(hub, { 1, 9 }, all);
    cluster.run(milliseconds(500));
    publish(hub, { 2, 4 }, { all.front() }, milliseconds(2400));
    cluster.run(milliseconds(500));
    CHECK_TRUE(neighbour.fleet.takesWork(all.back(), cluster.now));
    cluster.run(milliseconds(1200));
    publish(hub, { 2, 5 }, { all.front() }, milliseconds(700));
    cluster.run(milliseconds(1200));
    CHECK_FALSE(neighbour.fleet.takesWork(all.back(), cluster.now));
}

TEST(RestoredStorePeers, NodesLearnOfARestoreFromEachOther)
{
    publish(hub, { 1, 9 }, all);
    cluster.run(milliseconds(500));
    publish(neighbour, { 2, 4 }, all);
    cluster.run(milliseconds(500));
    CHECK_TRUE(hub.era.current() == 2U);
    CHECK_TRUE(hub.era.restoredAt() > cluster.now - milliseconds(500));
}
