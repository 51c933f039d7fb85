#include "fakes/RestorableStore.h"
#include "redwingseam/base/BootClock.h"
#include "sync/ManifestTask.h"
#include "sync/UpstreamListTask.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::RestorableStore;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RestoredStore)
{
    RestorableStore store;
    fleet::Fleet fleet { { "dc-a" } };
    sync::UpstreamListCache cache;
    manifest::ManifestHolder manifest;
    sync::NodeRole role;
    sync::StoreEra era;
    sync::UpstreamListTask<RestorableStore> listTask { store, fleet, cache, role, era, seconds(3) };
    sync::ManifestTask<RestorableStore> manifestTask { store, manifest, role, era, seconds(3) };

    bool isUsed(const std::string& name, base::Duration later = {})
    {
        return fleet.takesWork(RestorableStore::upstream(name), base::BootClock {}.now() + later);
    }

    std::string listed()
    {
        std::string names;
        for (const auto& instance : cache.snapshot()->list->upstreams)
            names += instance.id.text + ' ';
        return names;
    }

    // Reads a list, also after a watch that failed.
    void readList()
    {
        if (!listTask.poll())
            CHECK_TRUE(listTask.poll());
    }

    // Fills the store and returns a copy of that state. More is written after it than a restored store writes again at once.
    RestorableStore::Content fillBeyondCopy()
    {
        store.put("e1");
        store.put("e2");
        auto copy = store.content;
        for (int i = 0; i < 10; ++i)
            store.put("e3");
        readList();
        return copy;
    }
};

// Guards against lists that are refused until the revision has passed that of the last list before the restore.
TEST(RestoredStore, ListOfARestoredStoreReplacesOneWithAHigherRevision)
{
    store.restore(fillBeyondCopy());
    auto before = fleet.listedAt();
    store.remove("e2");
    readList();
    CHECK_TRUE(cache.snapshot()->list->version == store.version());
    STRCMP_EQUAL("e1 ", listed().c_str());
    CHECK_TRUE(fleet.listedAt() > before);
}

// Guards against a watch whose revision was given out again, so that the store doesn't answer 410.
TEST(RestoredStore, WatchFromARevisionThatWasGivenOutAgainMissesNoChange)
{
    store.put("e1");
    store.put("e2");
    auto copy = store.content;
    store.put("e3");
    readList();
    store.restore(copy);
    store.remove("e2");
    store.put("e4");
    readList();
    STRCMP_EQUAL("e1 e4 ", listed().c_str());
}

// Guards against a watch from a revision that the store no longer has after peers have told of the restore.
TEST(RestoredStore, NodeThatLearnsOfARestoreReadsTheFullList)
{
    store.put("e1");
    readList();
    auto copy = store.content;
    store.put("e2");
    store.put("e4");
    readList();
    store.restore(copy);
    store.put("e3");
    era.learn(store.era, base::BootClock {}.now());
    CHECK_TRUE(listTask.poll());
    STRCMP_EQUAL("e1 e3 ", listed().c_str());
}

// Guards against a late response that undoes what was read after the restore.
TEST(RestoredStore, ResponseOfAnEarlierEraIsNotUsed)
{
    store.put("e1");
    readList();
    manifestTask.poll();
    era.learn(2, base::BootClock {}.now() - seconds(10));
    store.put("e2");
    store.content.manifestVersion = 2;
    CHECK_FALSE(listTask.poll());
    CHECK_FALSE(listTask.poll());
    CHECK_FALSE(manifestTask.poll());
    STRCMP_EQUAL("e1 ", listed().c_str());
    LONGS_EQUAL(1, manifest.state().index->manifest().version);
}

// Guards against upstreams that are given up although their entries are only not written again yet.
TEST(RestoredStore, EntryMissingAfterARestoreIsUsedUntilItCanBeBack)
{
    auto copy = store.content;
    store.put("e1");
    readList();
    store.restore(copy);
    readList();
    STRCMP_EQUAL("", listed().c_str());
    CHECK_TRUE(isUsed("e1", milliseconds(1500)));
    CHECK_FALSE(isUsed("e1", milliseconds(2500)));
}

// Guards against a grace that begins anew with each node that reads the list.
TEST(RestoredStore, EntryMissingLongAfterARestoreIsGone)
{
    store.put("e1");
    readList();
    store.restore(store.content);
    era.learn(store.era, base::BootClock {}.now() - milliseconds(2500));
    store.remove("e1");
    readList();
    CHECK_FALSE(isUsed("e1"));
}

// Guards against a version that goes back, and against an older one that proves the newer one current.
TEST(RestoredStore, OlderManifestIsNeitherTakenNorAConfirmation)
{
    store.content.manifestVersion = 5;
    auto copy = store.content;
    store.content.manifestVersion = 9;
    CHECK_TRUE(manifestTask.poll());
    auto confirmedAt = manifest.state().confirmedAt;
    store.restore(copy);
    era.learn(store.era, base::BootClock {}.now() - seconds(10));
    CHECK_TRUE(manifestTask.poll());
    LONGS_EQUAL(9, manifest.state().index->manifest().version);
    CHECK_TRUE(manifest.state().confirmedAt == confirmedAt);
    store.content.manifestVersion = 9;
    CHECK_TRUE(manifestTask.poll());
    CHECK_TRUE(manifest.state().confirmedAt > confirmedAt);
}

// Guards against revoked keys that are accepted because the store has lost the version that revoked them.
TEST(RestoredStore, ReadRightAfterARestoreIsNoConfirmation)
{
    CHECK_TRUE(manifestTask.poll());
    auto confirmedAt = manifest.state().confirmedAt;
    store.restore(store.content);
    CHECK_FALSE(manifestTask.poll());
    CHECK_TRUE(manifest.state().confirmedAt == confirmedAt);
    role.setHub(false);
    CHECK_TRUE(manifestTask.poll());
    CHECK_TRUE(manifest.state().confirmedAt == confirmedAt);
}

TEST(RestoredStore, ReadSomeTimeAfterARestoreIsAConfirmation)
{
    CHECK_TRUE(manifestTask.poll());
    auto confirmedAt = manifest.state().confirmedAt;
    store.restore(store.content);
    era.learn(store.era, base::BootClock {}.now() - seconds(2));
    CHECK_TRUE(manifestTask.poll());
    CHECK_TRUE(manifest.state().confirmedAt > confirmedAt);
}

// A node that starts after the restore doesn't know of it, and must have state at once.
TEST(RestoredStore, FirstReadOfANodeIsAConfirmation)
{
    store.restore(store.content);
    CHECK_TRUE(manifestTask.poll());
    CHECK_TRUE(manifest.state().confirmedAt != base::Instant {});
    CHECK_TRUE(era.restoredAt() == base::Instant {});
}
