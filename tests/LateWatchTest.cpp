// The response to a watch tells nothing of the time after it was made.

#include "fakes/LateUpstreamStore.h"
#include "sync/UpstreamListTask.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

TEST_GROUP(LateWatch)
{
    fakes::LateUpstreamStore store;
    fleet::Fleet fleet { { "dc-a" } };
    sync::UpstreamListCache cache;
    sync::NodeRole role;
    sync::StoreEra era;
    sync::UpstreamListTask<fakes::LateUpstreamStore> task { store, fleet, cache, role, era, std::chrono::seconds(4) };
};

TEST(LateWatch, ListIsNotConfirmedForTheTimeAfterTheStoreHasAnswered)
{
    fleet::UpstreamInstance first { { "a" }, { "desk" }, "10.0.0.1:80", { "dc-a" }, 1, 6, false, { "v1" } };
    auto second = first;
    second.id = { "b" };
    store.list.list = { { 1, 4 }, { first } };
    CHECK_TRUE(task.poll());
    store.changes = { { { "b" }, second, false } };
    store.delay = std::chrono::milliseconds(100);
    CHECK_TRUE(task.poll());
    LONGS_EQUAL(2, cache.snapshot()->list->upstreams.size());
    CHECK_TRUE(fleet.listedAt() <= store.answeredAt);
}
