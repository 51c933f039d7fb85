#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;

TEST_GROUP(LargeState)
{
    static constexpr size_t textBytes = 900 * 1000;
    // 10 Mbit/s.
    static constexpr size_t slowLink = 1250 * 1000;

    // A text of `version` that does not compress.
    static std::string largeText(uint64_t version)
    {
        std::mt19937_64 random(version);
        auto text = std::to_string(version) + " ";
        while (text.size() < textBytes)
            text.push_back(static_cast<char>(' ' + random() % 95));
        return text;
    }

    static size_t messagesLargerThan(const FakePeerCluster& cluster, size_t bytes)
    {
        return static_cast<size_t>(std::count_if(cluster.messagesInTransit.begin(), cluster.messagesInTransit.end(), [&](const auto& message) { return message.bytes.size() > bytes; }));
    }

    FakePeerCluster cluster;
};

// State that is sent again while it is on its way fills the link and both nodes' memory.
TEST(LargeState, NodeBehindASlowLinkReceivesALargeManifestOnceAndInTime)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& slow = cluster.add("a2", "dc-a");
    cluster.linkRates["a2"] = slowLink;
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    LONGS_EQUAL(1, slow.manifestVersion());
    cluster.bytesSent = 0;
    size_t mostAtOnce = 0;
    for (uint64_t version = 2; version <= 3; ++version) {
        hub.confirm(largeText(version), cluster.now);
        for (int i = 0; i < 30; ++i) {
            cluster.run(milliseconds(100));
            mostAtOnce = std::max(mostAtOnce, messagesLargerThan(cluster, textBytes / 2));
        }
        LONGS_EQUAL(version, slow.manifestVersion());
    }
    LONGS_EQUAL(1, mostAtOnce);
    CHECK_TRUE_TEXT(cluster.bytesSent < 2 * textBytes * 5 / 4, std::to_string(cluster.bytesSent).c_str());
}

// A transfer that takes longer than a usual reply must still end, or the node asks for ever.
TEST(LargeState, ManifestThatTakesLongToArriveIsUsed)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& slow = cluster.add("a2", "dc-a");
    cluster.linkRates["a2"] = textBytes / 5;
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    hub.confirm(largeText(2), cluster.now);
    cluster.run(milliseconds(25'000));
    LONGS_EQUAL(2, slow.manifestVersion());
}

TEST(LargeState, ManifestThatWasLostOnTheWayIsRequestedAgain)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& node = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    cluster.lossLimits["a2"] = textBytes / 2;
    hub.confirm(largeText(2), cluster.now);
    cluster.run(milliseconds(500));
    cluster.lossLimits.clear();
    cluster.run(milliseconds(3500));
    LONGS_EQUAL(2, node.manifestVersion());
}

// Otherwise a manifest that a node cannot read fills its link for ever.
TEST(LargeState, UnreadableManifestIsNotRequestedWithEachQuery)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& node = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    hub.manifest.update(fakes::FakeManifestParser::parse("2").value(), "unreadable " + largeText(2), cluster.now);
    cluster.bytesSent = 0;
    cluster.run(milliseconds(10'000));
    LONGS_EQUAL(1, node.manifestVersion());
    CHECK_TRUE_TEXT(cluster.bytesSent < 4 * textBytes, std::to_string(cluster.bytesSent).c_str());
}

// Each hub would otherwise receive the manifest from all others that have it already.
TEST(LargeState, HubBehindASlowLinkReceivesALargeManifestFromOneOtherOnly)
{
    for (const char* name : { "a1", "b1", "c1", "d1", "e1" })
        cluster.add(name, std::string("dc-") + name[0]);
    auto& slow = cluster.add("f1", "dc-f");
    cluster.linkRates["f1"] = slowLink;
    cluster.shareNodeList();
    cluster.nodes.front()->confirm(1, cluster.now);
    cluster.run(milliseconds(2500));
    LONGS_EQUAL(1, slow.manifestVersion());
    auto text = largeText(2);
    for (size_t i = 0; i < 5; ++i)
        cluster.nodes[i]->confirm(text, cluster.now);
    size_t mostAtOnce = 0;
    for (int i = 0; i < 30; ++i) {
        cluster.run(milliseconds(100));
        mostAtOnce = std::max(mostAtOnce, messagesLargerThan(cluster, textBytes / 2));
    }
    LONGS_EQUAL(2, slow.manifestVersion());
    LONGS_EQUAL(1, mostAtOnce);
}

// The list of a large fleet behind a slow link has the same cause.
TEST(LargeState, NodeBehindASlowLinkReceivesALongListOnce)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& slow = cluster.add("a2", "dc-a");
    cluster.linkRates["a2"] = 250 * 1000;
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    std::vector<fleet::UpstreamInstance> upstreams;
    for (int i = 0; i < 5300; ++i)
        upstreams.push_back({ { "upstream-" + std::to_string(i) }, { "engines" }, "127.0.0.1:1", { "dc-a" }, 1, 6, false });
    hub.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { { 1, 5 }, upstreams }), cluster.now, {} });
    cluster.bytesSent = 0;
    size_t mostAtOnce = 0;
    for (int i = 0; i < 60; ++i) {
        cluster.run(milliseconds(100));
        mostAtOnce = std::max(mostAtOnce, messagesLargerThan(cluster, 100'000));
    }
    CHECK_TRUE(slow.upstreamCache.snapshot().has_value());
    LONGS_EQUAL(5300, slow.upstreamCache.snapshot()->list->upstreams.size());
    LONGS_EQUAL(1, mostAtOnce);
}
