#include "sync/NodesTask.h"

#include "fakes/FakeNodeStore.h"
#include "fakes/RecordingNodeListener.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FakeNodeStore;
using fakes::RecordingNodeListener;

TEST_GROUP(NodesTask)
{
    FakeNodeStore store;
    RecordingNodeListener listener;
    sync::NodeRole role;
    sync::StoreEra era;
    sync::NodeRecord self { { "a1" }, { "dc-a" }, "10.0.0.1:1" };
    sync::NodesTask<FakeNodeStore, RecordingNodeListener> task { store, listener, role, era, self };
};

TEST(NodesTask, NodeRegistersOnce)
{
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
    LONGS_EQUAL(1, store.latestReads);
    LONGS_EQUAL(1, store.recentReads);
}

TEST(NodesTask, RestartedNodeFindsItsEntryAndDoesNotWrite)
{
    store.entries = { self, { { "a2" }, { "dc-a" }, "10.0.0.2:1" } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(0, store.writes);
    LONGS_EQUAL(0, store.latestReads);
    LONGS_EQUAL(1, store.recentReads);
    LONGS_EQUAL(2, listener.nodes.size());
}

TEST(NodesTask, EntryWithAnotherAddressIsReplaced)
{
    store.entries = { { self.name, self.dataCentre, "10.0.0.9:1" } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
    CHECK_TRUE(store.entries.front() == self);
}

TEST(NodesTask, RetriesUntilTheStoreAnswers)
{
    store.isDown = true;
    CHECK_FALSE(task.poll());
    CHECK_FALSE(task.hasListed());
    store.isDown = false;
    role.setLeader(false);
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
}
