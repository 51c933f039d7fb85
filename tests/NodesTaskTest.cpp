#include "sync/NodesTask.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

namespace {

// The part of a store that keeps the entries of nodes.
struct NodeStore {
    std::vector<sync::NodeRecord> entries;
    unsigned reads = 0;
    unsigned cheapReads = 0;
    unsigned writes = 0;
    bool isDown = false;

    base::Result<sync::ManifestRead> readManifest() { return down(); }
    base::Result<sync::UpstreamList> listUpstreams() { return down(); }
    base::Result<sync::UpstreamChanges> watchUpstreams(uint64_t, base::Duration) { return down(); }
    base::Error announceNode(const sync::NodeRecord& node)
    {
        if (isDown)
            return down();
        ++writes;
        std::erase_if(entries, [&](const auto& entry) { return entry.name == node.name; });
        entries.push_back(node);
        return {};
    }
    base::Result<std::vector<sync::NodeRecord>> listNodes(sync::Freshness freshness)
    {
        if (isDown)
            return down();
        ++(freshness == sync::Freshness::Latest ? reads : cheapReads);
        return entries;
    }

    static base::Error down() { return { base::ResultCode::PlatformUnavailable, "down" }; }
};

struct NodesTaker {
    std::vector<sync::NodeRecord> nodes;

    void setNodes(const std::vector<sync::NodeRecord>& given) { nodes = given; }
};

} // namespace

TEST_GROUP(NodesTask)
{
    NodeStore store;
    NodesTaker taker;
    sync::FollowRule follow;
    sync::NodeRecord self { { "a1" }, { "dc-a" }, "10.0.0.1:1" };
    sync::NodesTask<NodeStore, NodesTaker> task { store, taker, follow, self };
};

TEST(NodesTask, NodeEntersItselfOnce)
{
    CHECK_TRUE(task.poll());
    follow.setLeader(false);
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
    LONGS_EQUAL(1, store.reads);
    LONGS_EQUAL(1, store.cheapReads);
}

TEST(NodesTask, RestartedNodeFindsItsEntryAndWritesNothing)
{
    store.entries = { self, { { "a2" }, { "dc-a" }, "10.0.0.2:1" } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(0, store.writes);
    LONGS_EQUAL(0, store.reads);
    LONGS_EQUAL(1, store.cheapReads);
    LONGS_EQUAL(2, taker.nodes.size());
}

TEST(NodesTask, EntryOfAnotherAddressIsReplaced)
{
    store.entries = { { self.name, self.dataCentre, "10.0.0.9:1" } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
    CHECK_TRUE(store.entries.front() == self);
}

TEST(NodesTask, TriesAgainUntilTheStoreAnswers)
{
    store.isDown = true;
    CHECK_FALSE(task.poll());
    CHECK_FALSE(task.hasListed());
    store.isDown = false;
    follow.setLeader(false);
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
}
