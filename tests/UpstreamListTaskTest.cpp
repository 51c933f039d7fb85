#include "sync/UpstreamListTask.h"

#include "fakes/FakeUpstreamStore.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

static fleet::UpstreamInstance instance(const std::string& id)
{
    return { { id }, { "desk" }, "10.0.0.1:80", { "dc-a" }, 1, 6, false };
}

TEST_GROUP(UpstreamListTask)
{
    fakes::FakeUpstreamStore store;
    fleet::Fleet fleet { { "dc-a" } };
    sync::UpstreamListCache cache;
    sync::NodeRole role;
    sync::StoreEra era;
    sync::UpstreamListTask<fakes::FakeUpstreamStore> task { store, fleet, cache, role, era, std::chrono::seconds(60) };

    size_t listed() const { return cache.snapshot()->list->upstreams.size(); }
};

TEST(UpstreamListTask, SkippedEntryThatReplacesAnUpstreamTakesItOutOfUse)
{
    store.list.list = { { 1, 4 }, { instance("a"), instance("b") } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(2, listed());
    store.changes = { { { "a" }, std::nullopt, true } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(1, listed());
    store.changes = { { { "a" }, instance("a"), false } };
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(2, listed());
}

TEST(UpstreamListTask, SkippedEntriesAreReportedOnceForEachChange)
{
    sync::SkippedEntries skipped;
    CHECK_FALSE(skipped.takeChange());
    for (int i = 0; i < 5; ++i) {
        skipped.replace({ { "odd" }, { "" } });
        skipped.add({ "odd" });
        skipped.remove({ "other" });
        CHECK_TRUE(skipped.takeChange() == (i == 0));
    }
    STRCMP_EQUAL("(no name) odd", skipped.summary().c_str());
    skipped.remove({ "odd" });
    CHECK_TRUE(skipped.takeChange());
    LONGS_EQUAL(1, skipped.count());
}

TEST(UpstreamListTask, ReportOfSkippedEntriesIsBounded)
{
    sync::SkippedEntries skipped;
    for (int i = 0; i < 1000; ++i)
        skipped.add({ std::to_string(i) + std::string(1000, 'x') });
    CHECK_TRUE(skipped.summary().size() < 1000);
}

// The response lay in the socket meanwhile, and tells nothing of the time since.
TEST(UpstreamListTask, WatchOfAProcessThatStoodStillDoesNotConfirmTheListForThatTime)
{
    static constexpr base::Duration maxAge = std::chrono::milliseconds(30);
    sync::UpstreamListTask<fakes::FakeUpstreamStore> shortTask { store, fleet, cache, role, era, maxAge };
    store.list.list = { { 1, 4 }, { instance("a") } };
    CHECK_TRUE(shortTask.poll());
    store.standstill = std::chrono::milliseconds(50);
    CHECK_TRUE(shortTask.poll());
    CHECK_TRUE(fleet.listedAt() <= base::BootClock {}.now() - store.standstill + maxAge / 3);
}
