#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace redwingseam;
using fakes::FakePeerCluster;
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

// Returns the largest number of copies that are on their way side by side while two versions reach `a2` over 10 Mbit/s.
static size_t mostCopiesAtOnce(FakePeerCluster& cluster)
{
    auto& hub = cluster.add("a1", "dc-a");
    auto& slow = cluster.add("a2", "dc-a");
    cluster.linkRates["a2"] = 1250 * 1000;
    cluster.shareNodeList();
    hub.confirm(1, cluster.now);
    cluster.run(milliseconds(1500));
    size_t most = 0;
    for (uint64_t version = 2; version <= 3; ++version) {
        hub.confirm(largeText(version), cluster.now);
        for (int i = 0; i < 30; ++i) {
            cluster.run(milliseconds(100));
            auto isLarge = [](const auto& message) { return message.bytes.size() > textBytes / 2; };
            most = std::max(most, static_cast<size_t>(std::count_if(cluster.messagesInTransit.begin(), cluster.messagesInTransit.end(), isLarge)));
        }
        LONGS_EQUAL(version, slow.manifestVersion());
    }
    return most;
}

TEST_GROUP(ReleaseMix)
{
    FakePeerCluster cluster;
};

// While a release is rolled out, the manifest may change too.
TEST(ReleaseMix, HubOfTheEarlierReleaseSendsAManifestOnce)
{
    cluster.olderNodes.insert("a1");
    LONGS_EQUAL(1, mostCopiesAtOnce(cluster));
}

TEST(ReleaseMix, NodeOfTheEarlierReleaseIsSentAManifestOnce)
{
    cluster.olderNodes.insert("a2");
    LONGS_EQUAL(1, mostCopiesAtOnce(cluster));
}
