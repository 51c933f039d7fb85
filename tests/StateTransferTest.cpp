#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::PeerNode;
using std::chrono::milliseconds;

static constexpr size_t textBytes = 900 * 1000;

// A text of `version` that does not compress.
static std::string largeText(uint64_t version)
{
    std::mt19937_64 random(version);
    auto text = std::to_string(version) + " ";
    while (text.size() < textBytes)
        text.push_back(static_cast<char>(' ' + random() % 95));
    return text;
}

static void confirmUnreadable(PeerNode& node, uint64_t version, base::Instant now)
{
    node.manifest.update(fakes::FakeManifestParser::parse(std::to_string(version)).value(), "unreadable " + largeText(version), now);
}

static void confirmList(PeerNode& node, uint64_t revision, base::Instant now)
{
    sync::UpstreamList list { { 1, revision }, PeerNode::fleetList() };
    node.upstreamCache.update({ std::make_shared<const sync::UpstreamList>(std::move(list)), now, {} });
}

static uint64_t listRevision(const PeerNode& node)
{
    auto snapshot = node.upstreamCache.snapshot();
    return snapshot ? snapshot->list->version.revision : 0;
}

TEST_GROUP(StateTransfer)
{
    FakePeerCluster cluster;
};

// Each late reply would otherwise let another copy start beside those that are on their way.
TEST(StateTransfer, VersionsThatFollowEachOtherFasterThanTheLinkCarriesThemDoNotPileUp)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& slow = cluster.add("a2", "dc-a");
    cluster.linkRates["a2"] = textBytes / 5;
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    auto largeMessages = [&] { return std::count_if(cluster.messagesInTransit.begin(), cluster.messagesInTransit.end(), [&](const auto& message) { return message.bytes.size() > textBytes / 2; }); };
    auto mostAtOnceDuring = [&](int seconds) {
        int64_t most = 0;
        for (int i = 0; i < seconds * 10; ++i) {
            if (i % 20 == 0)
                hub.confirm(largeText(hub.manifestVersion() + 1), cluster.now);
            cluster.run(milliseconds(100));
            most = std::max(most, int64_t(largeMessages()));
        }
        return most;
    };
    // Until the node knows how long a transfer takes, it repeats its requests after 2 s and 4 s more.
    CHECK_TRUE(mostAtOnceDuring(20) <= 3);
    LONGS_EQUAL(1, mostAtOnceDuring(60));
    CHECK_TRUE(slow.manifestVersion() + 5 >= hub.manifestVersion());
}

// A node that waits for a dead peer keeps an old manifest while its neighbours have the new one.
TEST(StateTransfer, StateOfAPeerThatDiedIsRequestedFromAnother)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& deputy = cluster.add("a2", "dc-a");
    auto& node = cluster.add("a3", "dc-a");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    cluster.lossLimits["a3"] = textBytes / 2;
    hub.confirm(largeText(2), cluster.now);
    cluster.run(milliseconds(6600));
    LONGS_EQUAL(2, deputy.manifestVersion());
    LONGS_EQUAL(1, node.manifestVersion());
    cluster.stoppedNodes.insert("a1");
    cluster.lossLimits.clear();
    cluster.run(milliseconds(2500));
    LONGS_EQUAL(2, node.manifestVersion());
}

// A version that cannot be read must not hold up the one that repairs it.
TEST(StateTransfer, ReadableManifestAfterAnUnreadableOneIsInForceInTime)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& node = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    confirmUnreadable(hub, 2, cluster.now);
    cluster.run(milliseconds(6600));
    hub.confirm(3, cluster.now);
    cluster.run(milliseconds(1000));
    LONGS_EQUAL(3, node.manifestVersion());
}

// A node with an old list sends requests to upstreams that are gone.
TEST(StateTransfer, UnreadableManifestDoesNotHoldUpTheList)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& node = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    confirmUnreadable(hub, 2, cluster.now);
    cluster.run(milliseconds(6600));
    confirmList(hub, 5, cluster.now);
    cluster.run(milliseconds(1000));
    LONGS_EQUAL(5, listRevision(node));
}

// A node that waits for a process that is gone keeps an old manifest, also if the next process answers at once.
TEST(StateTransfer, StateOfAPeerThatRestartedIsRequestedFromAnother)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& deputy = cluster.add("a2", "dc-a");
    auto& node = cluster.add("b1", "dc-b");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    cluster.lossLimits["b1"] = textBytes / 2;
    hub.confirm(largeText(2), cluster.now);
    cluster.run(milliseconds(6800));
    LONGS_EQUAL(2, deputy.manifestVersion());
    LONGS_EQUAL(1, node.manifestVersion());
    cluster.nodes.front() = std::make_unique<PeerNode>("a1", "dc-a");
    cluster.shareNodeList();
    cluster.lossLimits.clear();
    cluster.run(milliseconds(3000));
    LONGS_EQUAL(2, node.manifestVersion());
}

// Connections that are reset twice in a row lose two replies. The bound counts from the change, not from the last reset.
TEST(StateTransfer, VersionIsInForceInTimeAfterTwoRepliesWereLost)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& node = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    cluster.lossLimits["a2"] = textBytes / 2;
    hub.confirm(largeText(2), cluster.now);
    cluster.run(milliseconds(2500));
    cluster.lossLimits.clear();
    cluster.run(milliseconds(1500));
    LONGS_EQUAL(2, node.manifestVersion());
}

// A link on which no large message arrives must not be filled with copies.
TEST(StateTransfer, LinkThatLosesAllLargeRepliesCarriesFewCopies)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& node = cluster.add("a2", "dc-a");
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    cluster.lossLimits["a2"] = textBytes / 2;
    cluster.bytesSent = 0;
    hub.confirm(largeText(2), cluster.now);
    cluster.run(milliseconds(20'000));
    LONGS_EQUAL(1, node.manifestVersion());
    CHECK_TRUE_TEXT(cluster.bytesSent < 7 * textBytes, std::to_string(cluster.bytesSent).c_str());
}

// A reply that a slow link still carries is not lost.
TEST(StateTransfer, SlowReplyIsNotTakenForALostOne)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& slow = cluster.add("a2", "dc-a");
    cluster.linkRates["a2"] = textBytes / 2;
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    cluster.bytesSent = 0;
    hub.confirm(largeText(2), cluster.now);
    cluster.run(milliseconds(2200));
    CHECK_TRUE_TEXT(cluster.bytesSent < textBytes * 5 / 4, std::to_string(cluster.bytesSent).c_str());
    cluster.run(milliseconds(4000));
    LONGS_EQUAL(2, slow.manifestVersion());
}
