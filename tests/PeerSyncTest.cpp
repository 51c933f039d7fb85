#include "PropertyCheck.h"
#include "fakes/PeerWorld.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::PeerNode;
using fakes::PeerWorld;
using std::chrono::milliseconds;

TEST_GROUP(PeerSync)
{
    PeerWorld world;
};

TEST(PeerSync, ManifestReplicatesToNeighboursAndOtherDataCentresWithItsAge)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    world.introduce();
    world.run(milliseconds(600));
    auto readAt = world.now;
    a1.confirm(7, readAt);
    world.run(milliseconds(1200));
    for (auto* node : { &a2, &b1 }) {
        LONGS_EQUAL(7, node->manifest.state().index->manifest().version);
        CHECK_TRUE(node->manifest.state().confirmedAt <= readAt);
        CHECK_TRUE(node->manifest.state().confirmedAt > readAt - milliseconds(10));
    }
}

TEST(PeerSync, MessageDelayNeverMakesAManifestYounger)
{
    CHECK_PROPERTY("a replicated manifest is never dated after the read that confirmed it", [](uint16_t delayMillis, uint16_t readAgoMillis) {
        PeerWorld world;
        auto& a1 = world.add("a1", "dc-a");
        auto& a2 = world.add("a2", "dc-a");
        world.delay = milliseconds(delayMillis % 1500);
        world.introduce();
        auto readAt = world.now - milliseconds(readAgoMillis % 3000);
        a1.confirm(3, readAt);
        world.run(milliseconds(5000));
        if (a2.manifest.state().index)
            RC_ASSERT(a2.manifest.state().confirmedAt <= readAt);
    });
}

TEST(PeerSync, LoadReplicatesToAllNodes)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    auto& b2 = world.add("b2", "dc-b");
    world.introduce();
    auto index = std::make_shared<const manifest::ManifestIndex>(fakes::FleetFixture::manifestOf());
    fleet::PlacementQuery query;
    query.service.text = "engines";
    query.engine = index->service({ "engines" })->engine;
    query.promptTokens = 8000;
    query.preferredAddress = "127.0.0.1:1";
    query.now = world.now;
    auto placement = a2.fleet.place(query);
    world.run(milliseconds(2500));
    for (auto* node : { &a1, &b1, &b2 }) {
        for (const auto& entry : node->fleet.entries()) {
            if (entry.instance.id.text == "e1")
                LONGS_EQUAL(8000, entry.remoteLoad.pendingPrefillTokens);
        }
    }
    for (const auto& entry : a2.fleet.entries())
        LONGS_EQUAL(0, entry.remoteLoad.pendingPrefillTokens);
    a2.fleet.release(*placement);
    world.run(milliseconds(2500));
    for (const auto& entry : b2.fleet.entries())
        LONGS_EQUAL(0, entry.remoteLoad.pendingPrefillTokens);
}

TEST(PeerSync, SuspicionsReplicateUnlessANodeHasNewerEvidence)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    auto& b2 = world.add("b2", "dc-b");
    world.introduce();
    world.run(milliseconds(1000));
    auto upstream = PeerNode::fleetList().front();
    a2.fleet.suspect(upstream, fleet::SuspicionCause::ConnectionLost, world.now);
    b2.fleet.noteHeard(upstream, world.now + milliseconds(20));
    world.run(milliseconds(150));
    CHECK_FALSE(a1.fleet.takesWork(upstream, world.now));
    CHECK_FALSE(b1.fleet.takesWork(upstream, world.now));
    CHECK_TRUE(b2.fleet.takesWork(upstream, world.now));
}

TEST(PeerSync, RequestThatCrashesUpstreamsOfSeveralNodesIsQuarantinedOnAllNodes)
{
    for (const char* name : { "a1", "a2", "b1", "b2", "c1" })
        world.add(name, std::string("dc-") + name[0]);
    world.introduce();
    world.run(milliseconds(1000));
    base::Fingerprint fingerprint { UINT64_MAX - 1 };
    for (size_t i : { 1, 3, 4 }) {
        world.nodes[i]->crashes.recordCrash({ fingerprint, world.now, world.now + milliseconds(5) });
        world.run(milliseconds(300));
    }
    for (const auto& node : world.nodes) {
        CHECK_TRUE(node->crashes.isQuarantined(fingerprint, world.now));
        CHECK_FALSE(node->crashes.isSuspect({ 7 }, world.now));
    }
    // A node that joins later learns of the quarantined request from its first replies.
    auto& newNode = world.add("b3", "dc-b");
    world.introduce();
    world.run(milliseconds(1000));
    CHECK_TRUE(newNode.crashes.isQuarantined(fingerprint, world.now));
}

TEST(PeerSync, UpstreamListReplicatesToNeighboursOnlyIfNewer)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    world.introduce();
    world.run(milliseconds(1000));
    auto list = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { 9, PeerNode::fleetList() });
    a1.upstreamCache.update({ list, world.now, {} });
    world.run(milliseconds(500));
    LONGS_EQUAL(9, a2.upstreamCache.snapshot()->list->revision);
    auto older = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { 8, {} });
    CHECK_FALSE(a2.upstreamCache.update({ older, world.now, {} }));
}

TEST(PeerSync, ChangesOfALongListAreSentAsDeltas)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    world.introduce();
    std::vector<fleet::UpstreamInstance> upstreams;
    for (int i = 0; i < 3000; ++i)
        upstreams.push_back({ { "upstream-" + std::to_string(i) }, { "engines" }, "127.0.0.1:1", { i % 2 ? "dc-a" : "dc-b" }, 1, 6, false });
    auto publish = [&](uint64_t revision) { a1.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { revision, upstreams }), world.now, {} }); };
    publish(1);
    world.run(milliseconds(1500));
    world.bytesSent = 0;
    for (uint64_t revision = 2; revision <= 9; ++revision) {
        upstreams.erase(upstreams.begin() + 5);
        upstreams[7].isDraining = true;
        upstreams.push_back({ { "new-" + std::to_string(revision) }, { "engines" }, "127.0.0.1:2", { "dc-b" }, 1, 6, false });
        publish(revision);
        world.run(milliseconds(400));
    }
    world.run(milliseconds(1000));
    CHECK_TRUE_TEXT(world.bytesSent < 30'000, std::to_string(world.bytesSent).c_str());
    auto expected = sync::deltaBetween({ 9, upstreams }, *a2.upstreamCache.snapshot()->list);
    LONGS_EQUAL(0, expected.changed.size() + expected.removed.size());
    expected = sync::deltaBetween({ 9, upstreams }, *b1.upstreamCache.snapshot()->list);
    LONGS_EQUAL(0, expected.changed.size() + expected.removed.size());
}

TEST(PeerSync, DataCentreReceivesLoadsOfOnlyItsOwnUpstreamsIfTheListIsLong)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    world.add("a3", "dc-a");
    world.introduce();
    auto upstreams = PeerNode::fleetList();
    for (int i = 0; i < 1000; ++i)
        upstreams.push_back({ { "upstream-" + std::to_string(i) }, { "engines" }, "127.0.0.1:1", { "dc-b" }, 1, 6, false });
    a1.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { 1, upstreams }), world.now, {} });
    for (const auto& node : world.nodes)
        node->fleet.update(upstreams, world.now, {});
    world.run(milliseconds(1000));
    fleet::PlacementQuery query;
    query.service.text = "engines";
    query.promptTokens = 8000;
    query.now = world.now;
    std::vector<fleet::Placement> placements;
    for (int i = 0; i < 300; ++i) {
        query.random = static_cast<uint64_t>(i) * 7919;
        placements.push_back(*a1.fleet.place(query));
    }
    world.run(milliseconds(1000));
    unsigned upstreamsWithLoad = 0;
    for (const auto& entry : a2.fleet.entries()) {
        upstreamsWithLoad += entry.remoteLoad.requests > 0;
        CHECK_TRUE(entry.remoteLoad.requests == 0 || entry.instance.dataCentre.text == "dc-a");
    }
    CHECK_TRUE(upstreamsWithLoad > 0);
}

TEST(PeerSync, MissingGraceOfADisconnectedNodeIsNotAdoptedByAConnectedNode)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& a3 = world.add("a3", "dc-a");
    world.introduce();
    world.run(milliseconds(500));
    auto all = PeerNode::fleetList();
    auto removed = all.back();
    auto publish = [&](PeerNode& node, uint64_t revision, const std::vector<fleet::UpstreamInstance>& upstreams, base::Duration grace) {
        node.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { revision, upstreams }), world.now, grace });
        node.fleet.update(upstreams, world.now, grace);
    };
    publish(a3, 5, all, {});
    world.run(milliseconds(2600));
    publish(a2, 5, all, {});
    world.run(milliseconds(1));
    publish(a1, 6, { all.front() }, milliseconds(2400));
    world.run(milliseconds(400));
    CHECK_FALSE(a2.fleet.takesWork(removed, world.now));
    // The own list of a3 is too old to rule out an outage of the store, so a3 adopts the grace period.
    CHECK_TRUE(a3.fleet.takesWork(removed, world.now));
}
