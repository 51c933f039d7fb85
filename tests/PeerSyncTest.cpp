#include "PropertyCheck.h"
#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;

TEST_GROUP(PeerSync)
{
    FakePeerCluster cluster;
};

TEST(PeerSync, ManifestReplicatesToNeighboursAndOtherDataCentresWithItsAge)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& b1 = cluster.add("b1", "dc-b");
    cluster.shareNodeList();
    cluster.run(milliseconds(600));
    auto readAt = cluster.now;
    a1.confirm(7, readAt);
    cluster.run(milliseconds(1200));
    for (auto* node : { &a2, &b1 }) {
        LONGS_EQUAL(7, node->manifest.state().index->manifest().version);
        CHECK_TRUE(node->manifest.state().confirmedAt <= readAt);
        CHECK_TRUE(node->manifest.state().confirmedAt > readAt - milliseconds(10));
    }
}

TEST(PeerSync, MessageDelayNeverMakesAManifestYounger)
{
    CHECK_PROPERTY("a replicated manifest is never dated after the read that confirmed it", [](uint16_t delayMillis, uint16_t readAgoMillis) {
        FakePeerCluster cluster;
        auto& a1 = cluster.add("a1", "dc-a");
        auto& a2 = cluster.add("a2", "dc-a");
        cluster.delay = milliseconds(delayMillis % 1500);
        cluster.shareNodeList();
        auto readAt = cluster.now - milliseconds(readAgoMillis % 3000);
        a1.confirm(3, readAt);
        cluster.run(milliseconds(5000));
        if (a2.manifest.state().index)
            RC_ASSERT(a2.manifest.state().confirmedAt <= readAt);
    });
}

TEST(PeerSync, LoadReplicatesToAllNodes)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& b1 = cluster.add("b1", "dc-b");
    auto& b2 = cluster.add("b2", "dc-b");
    cluster.shareNodeList();
    auto index = std::make_shared<const manifest::ManifestIndex>(fakes::FleetFixture::makeManifest());
    fleet::PlacementQuery query;
    query.service.text = "engines";
    query.engine = index->service({ "engines" })->engine;
    query.promptTokens = 8000;
    query.preferredAddress = "127.0.0.1:1";
    query.now = cluster.now;
    auto placement = a2.fleet.place(query);
    cluster.run(milliseconds(2500));
    for (auto* node : { &a1, &b1, &b2 }) {
        for (const auto& entry : node->fleet.entries()) {
            if (entry.instance.id.text == "e1")
                LONGS_EQUAL(8000, entry.peerLoad.pendingPrefillTokens.value());
        }
    }
    for (const auto& entry : a2.fleet.entries())
        LONGS_EQUAL(0, entry.peerLoad.pendingPrefillTokens.value());
    a2.fleet.release(*placement);
    cluster.run(milliseconds(2500));
    for (const auto& entry : b2.fleet.entries())
        LONGS_EQUAL(0, entry.peerLoad.pendingPrefillTokens.value());
}

TEST(PeerSync, SuspicionsReplicateUnlessANodeHasNewerEvidence)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& b1 = cluster.add("b1", "dc-b");
    auto& b2 = cluster.add("b2", "dc-b");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    auto upstream = PeerNode::fleetList().front();
    a2.fleet.suspect(upstream, fleet::SuspicionCause::ConnectionLost, cluster.now);
    b2.fleet.recordContact(upstream, cluster.now + milliseconds(20));
    cluster.run(milliseconds(150));
    CHECK_FALSE(a1.fleet.takesWork(upstream, cluster.now));
    CHECK_FALSE(b1.fleet.takesWork(upstream, cluster.now));
    CHECK_TRUE(b2.fleet.takesWork(upstream, cluster.now));
}

TEST(PeerSync, RequestThatCrashesUpstreamsOfSeveralNodesIsQuarantinedOnAllNodes)
{
    for (const char* name : { "a1", "a2", "b1", "b2", "c1" })
        cluster.add(name, std::string("dc-") + name[0]);
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    base::Fingerprint fingerprint { UINT64_MAX - 1 };
    for (size_t i : { 1, 3, 4 }) {
        cluster.nodes[i]->crashes.requests.recordCrash({ fingerprint, cluster.now, cluster.now + milliseconds(5) });
        cluster.run(milliseconds(300));
    }
    for (const auto& node : cluster.nodes) {
        CHECK_TRUE(node->crashes.requests.isQuarantined(fingerprint, cluster.now));
        CHECK_FALSE(node->crashes.requests.isSuspect({ 7 }, cluster.now));
    }
    // A node that joins later learns of the quarantined request from its first replies.
    auto& newNode = cluster.add("b3", "dc-b");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    CHECK_TRUE(newNode.crashes.requests.isQuarantined(fingerprint, cluster.now));
}

TEST(PeerSync, UpstreamListReplicatesToNeighboursOnlyIfNewer)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    auto list = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 9 }, PeerNode::fleetList() });
    a1.upstreamCache.update({ list, cluster.now, {} });
    cluster.run(milliseconds(500));
    LONGS_EQUAL(9, a2.upstreamCache.snapshot()->list->version.revision);
    auto older = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 8 }, {} });
    CHECK_FALSE(a2.upstreamCache.update({ older, cluster.now, {} }));
}

TEST(PeerSync, ChangesOfALongListAreSentAsDeltas)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& b1 = cluster.add("b1", "dc-b");
    cluster.shareNodeList();
    std::vector<fleet::UpstreamInstance> upstreams;
    for (int i = 0; i < 3000; ++i)
        upstreams.push_back({ { "upstream-" + std::to_string(i) }, { "engines" }, "127.0.0.1:1", { i % 2 ? "dc-a" : "dc-b" }, 1, 6, false });
    auto publish = [&](uint64_t revision) { a1.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, revision }, upstreams }), cluster.now, {} }); };
    publish(1);
    cluster.run(milliseconds(1500));
    cluster.bytesSent = 0;
    for (uint64_t revision = 2; revision <= 9; ++revision) {
        upstreams.erase(upstreams.begin() + 5);
        upstreams[7].isDraining = true;
        upstreams.push_back({ { "new-" + std::to_string(revision) }, { "engines" }, "127.0.0.1:2", { "dc-b" }, 1, 6, false });
        publish(revision);
        cluster.run(milliseconds(400));
    }
    cluster.run(milliseconds(1000));
    CHECK_TRUE_TEXT(cluster.bytesSent < 30'000, std::to_string(cluster.bytesSent).c_str());
    auto expected = sync::deltaBetween({ { 1, 9 }, upstreams }, *a2.upstreamCache.snapshot()->list);
    LONGS_EQUAL(0, expected.changed.size() + expected.removed.size());
    expected = sync::deltaBetween({ { 1, 9 }, upstreams }, *b1.upstreamCache.snapshot()->list);
    LONGS_EQUAL(0, expected.changed.size() + expected.removed.size());
}

TEST(PeerSync, DataCentreReceivesLoadsOfOnlyItsOwnUpstreamsIfTheListIsLong)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    auto upstreams = PeerNode::fleetList();
    for (int i = 0; i < 1000; ++i)
        upstreams.push_back({ { "upstream-" + std::to_string(i) }, { "engines" }, "127.0.0.1:1", { "dc-b" }, 1, 6, false });
    a1.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 1 }, upstreams }), cluster.now, {} });
    for (const auto& node : cluster.nodes)
        node->fleet.update(upstreams, cluster.now, {});
    cluster.run(milliseconds(1000));
    fleet::PlacementQuery query;
    query.service.text = "engines";
    query.promptTokens = 8000;
    query.now = cluster.now;
    std::vector<fleet::Placement> placements;
    for (int i = 0; i < 300; ++i) {
        query.random = static_cast<uint64_t>(i) * 7919;
        placements.push_back(*a1.fleet.place(query));
    }
    cluster.run(milliseconds(1000));
    unsigned upstreamsWithLoad = 0;
    for (const auto& entry : a2.fleet.entries()) {
        upstreamsWithLoad += entry.peerLoad.requests > 0;
        CHECK_TRUE(entry.peerLoad.requests == 0 || entry.instance.dataCentre.text == "dc-a");
    }
    CHECK_TRUE(upstreamsWithLoad > 0);
}

TEST(PeerSync, MissingGraceOfADisconnectedNodeIsNotAdoptedByAConnectedNode)
{
    auto& a1 = cluster.add("a1", "dc-a");
    auto& a2 = cluster.add("a2", "dc-a");
    auto& a3 = cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(500));
    auto all = PeerNode::fleetList();
    auto removed = all.back();
    auto publish = [&](PeerNode& node, uint64_t revision, const std::vector<fleet::UpstreamInstance>& upstreams, base::Duration grace) {
        node.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, revision }, upstreams }), cluster.now, grace });
        node.fleet.update(upstreams, cluster.now, grace);
    };
    publish(a3, 5, all, {});
    cluster.run(milliseconds(2600));
    publish(a2, 5, all, {});
    cluster.run(milliseconds(1));
    publish(a1, 6, { all.front() }, milliseconds(2400));
    cluster.run(milliseconds(400));
    CHECK_FALSE(a2.fleet.takesWork(removed, cluster.now));
    // The own list of a3 is too old to rule out an outage of the store, so a3 adopts the grace period.
    CHECK_TRUE(a3.fleet.takesWork(removed, cluster.now));
}

// Clients take streams up at any node, also after their connection alone broke.
TEST(PeerSync, NodeOfAnotherDataCentreTellsWhereAStreamBegan)
{
    FakePeerCluster cluster;
    auto& asking = cluster.add("a1", "dc-a");
    cluster.add("b1", "dc-b");
    auto& knowing = cluster.add("b2", "dc-b");
    cluster.shareNodeList();
    for (const auto& node : cluster.nodes) {
        node->fleet.recordVersion({ "engines" }, { "v1" }, cluster.now);
        node->fleet.recordVersion({ "engines" }, { "v2" }, cluster.now);
    }
    cluster.run(std::chrono::seconds(1));
    knowing.origins.recordSent({ "s1" }, { { "engines" }, { "v2" } }, cluster.now);
    origin::TakeUp takeUp { { "s1" }, { "engines" }, cluster.now };
    auto resolution = asking.origins.resolve(takeUp, cluster.now);
    CHECK_TRUE(resolution.kind == origin::ResolutionKind::Pending);
    cluster.run(std::chrono::milliseconds(500));
    resolution = asking.origins.resolve(takeUp, cluster.now);
    CHECK_TRUE(resolution.kind == origin::ResolutionKind::Known);
    STRCMP_EQUAL("v2", resolution.origin.version.text.c_str());
}
