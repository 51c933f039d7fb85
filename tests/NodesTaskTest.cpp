#include "sync/NodesTask.h"

#include "fakes/NodeStore.h"
#include "fakes/NodesTaker.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::NodesTaker;
using fakes::NodeStore;

TEST_GROUP(NodesTask)
{
    NodeStore store;
    NodesTaker taker;
    sync::NodeRole role;
    sync::NodeRecord self { { "a1" }, { "dc-a" }, "10.0.0.1:1" };
    sync::NodesTask<NodeStore, NodesTaker> task { store, taker, role, self };
};

TEST(NodesTask, NodeRegistersOnce)
{
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
    LONGS_EQUAL(1, store.reads);
    LONGS_EQUAL(1, store.cheapReads);
}

TEST(NodesTask, RestartedNodeFindsItsEntryAndDoesNotWrite)
{
    store.entries = { self, { { "a2" }, { "dc-a" }, "10.0.0.2:1" } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(0, store.writes);
    LONGS_EQUAL(0, store.reads);
    LONGS_EQUAL(1, store.cheapReads);
    LONGS_EQUAL(2, taker.nodes.size());
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
