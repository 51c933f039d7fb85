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
    sync::UpstreamListTask<RestorableStore> listTask { store, fleet, cache, role, seconds(3) };
    sync::ManifestTask<RestorableStore> manifestTask { store, manifest, role, seconds(3) };

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
