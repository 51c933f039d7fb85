#include "sync/NodesTask.h"

#include "base/Condition.h"
#include "fakes/FakeNodeStore.h"
#include "fakes/RecordingNodeListener.h"

#include <CppUTest/TestHarness.h>
#include <mutex>

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

// Guards against nodes whose entries are gone for ever after the store was restored from a copy.
TEST(NodesTask, NodeRegistersAgainAfterARestore)
{
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    store.entries.clear();
    ++store.era;
    era.learn(store.era, base::BootClock {}.now() - std::chrono::seconds(6));
    CHECK_TRUE(task.poll());
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.entries.size());
    LONGS_EQUAL(2, store.writes);
}

TEST(NodesTask, EntryThatSurvivedARestoreIsNotWrittenAgain)
{
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    ++store.era;
    era.learn(store.era, base::BootClock {}.now() - std::chrono::seconds(6));
    CHECK_TRUE(task.poll());
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.writes);
    LONGS_EQUAL(2, store.recentReads);
}

// Guards against a read from before the restore that proves the entry to be there.
TEST(NodesTask, EntryReadRightAfterARestoreProvesNothing)
{
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    ++store.era;
    auto restoredAt = base::BootClock {}.now() - std::chrono::milliseconds(4900);
    era.learn(store.era, restoredAt);
    role.setLeader(true);
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    store.entries.clear();
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    condition.waitFor(mutex, std::chrono::milliseconds(150));
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, store.entries.size());
}
