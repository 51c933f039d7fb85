#include "sync/NodesTask.h"

#include "base/Condition.h"
#include "fakes/FakeClockHandle.h"
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

// Guards against entries of removed machines that stay in the store for ever, and count as nodes that share limits.
TEST_GROUP(NodeRemoval)
{
    FakeNodeStore store;
    RecordingNodeListener listener;
    fakes::FakeClock clock;
    sync::NodeRole role;
    sync::StoreEra era;
    sync::NodeRecord self { { "a1" }, { "dc-a" }, "10.0.0.1:1" };
    sync::NodesTask<FakeNodeStore, RecordingNodeListener, fakes::FakeClockHandle> task { store, listener, role, era, self, { &clock } };

    // Adds entries of nodes that are gone, and tells the task so.
    void addGoneNodes(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            store.entries.push_back({ { "b" + std::to_string(i) }, { "dc-a" }, "10.0.1.1:1" });
            listener.gone.push_back(store.entries.back());
        }
    }
    bool pollAfter(base::Duration duration)
    {
        clock.moveTo(clock.now() + duration);
        return task.poll();
    }
};

TEST(NodeRemoval, EntryOfAGoneNodeIsDeleted)
{
    CHECK_TRUE(task.poll());
    addGoneNodes(1);
    CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
    LONGS_EQUAL(1, store.entries.size());
    LONGS_EQUAL(1, listener.removed.size());
}

TEST(NodeRemoval, FewEntriesAreDeletedAtATime)
{
    addGoneNodes(1000);
    CHECK_TRUE(task.poll());
    for (unsigned polls = 1; polls <= 10; ++polls) {
        CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
        CHECK_TRUE(store.removals <= 4 * polls);
    }
    CHECK_TRUE(store.removals >= 10);
}

TEST(NodeRemoval, HubThatIsNotTheLeaderReadsTheListOnlyWhileItHasEntriesToDelete)
{
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    auto readsBefore = store.recentReads;
    for (int i = 0; i < 60; ++i)
        CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
    LONGS_EQUAL(readsBefore, store.recentReads);
    addGoneNodes(6);
    for (int i = 0; i < 18; ++i)
        CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
    LONGS_EQUAL(1, store.entries.size());
    CHECK_TRUE(store.recentReads <= readsBefore + 3);
}

// The node that took it for gone may have been the one that was cut off.
TEST(NodeRemoval, NodeWhoseEntryWasDeletedWritesItAgain)
{
    CHECK_TRUE(task.poll());
    role.setLeader(false);
    store.entries.clear();
    for (auto end = clock.now() + std::chrono::minutes(16); clock.now() < end;)
        CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
    LONGS_EQUAL(1, store.entries.size());
    LONGS_EQUAL(2, store.writes);
}

TEST(NodeRemoval, EntryOfANewNodeOfTheSameNameStays)
{
    CHECK_TRUE(task.poll());
    addGoneNodes(1);
    store.entries.back().peerAddress = "10.0.1.2:1";
    CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
    LONGS_EQUAL(2, store.entries.size());
    LONGS_EQUAL(0, listener.removed.size());
}

// A call that fails is no reason to call the store more often.
TEST(NodeRemoval, StoreThatRefusesRemovalsIsAskedOnceAList)
{
    CHECK_TRUE(task.poll());
    addGoneNodes(10);
    store.refusesRemovals = true;
    CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
    LONGS_EQUAL(0, listener.removed.size());
    store.refusesRemovals = false;
    CHECK_TRUE(pollAfter(std::chrono::seconds(5)));
    CHECK_TRUE(listener.removed.size() > 0);
}

// A list that may be some seconds old lacks an entry that was written since.
TEST(NodeRemoval, EntryThatWasJustWrittenIsNotTakenForDeleted)
{
    CHECK_TRUE(task.poll());
    store.entries.clear();
    CHECK_TRUE(pollAfter(std::chrono::seconds(4)));
    LONGS_EQUAL(1, store.writes);
}
