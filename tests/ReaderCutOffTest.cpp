#include "base/Condition.h"
#include "fakes/FakePeerCluster.h"
#include "fakes/RestorableStore.h"
#include "redwingseam/base/BootClock.h"
#include "sync/OutageTracker.h"
#include "sync/UpstreamListTask.h"

#include <CppUTest/TestHarness.h>
#include <mutex>

using namespace redwingseam;
using fakes::FakePeerCluster;
using fakes::RestorableStore;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ReaderCutOff) {};

// Guards against a node that takes the loss of its own connection for an outage of the store.
TEST(ReaderCutOff, LossOfOneNodesConnectionIsNoOutage)
{
    auto start = base::Instant(seconds(100));
    for (bool isServedElsewhere : { false, true }) {
        sync::OutageTracker outages;
        outages.recordResult(true, start);
        outages.recordResult(false, start + milliseconds(100));
        if (isServedElsewhere)
            outages.recordServedElsewhere(start + milliseconds(600));
        outages.recordResult(true, start + milliseconds(2700));
        CHECK_EQUAL(isServedElsewhere, outages.missingEntryGrace(start + milliseconds(2700)) == base::Duration {});
    }
}

// Guards against the opposite: the store goes away for all after one node has lost its connection.
TEST(ReaderCutOff, OutageThatFollowsTheLossOfAConnectionIsAnOutage)
{
    auto start = base::Instant(seconds(100));
    sync::OutageTracker outages;
    outages.recordResult(true, start);
    outages.recordResult(false, start + milliseconds(100));
    outages.recordServedElsewhere(start + milliseconds(600));
    outages.recordResult(true, start + milliseconds(4000));
    CHECK_TRUE(outages.missingEntryGrace(start + milliseconds(4000)) > base::Duration {});
}

// Guards against lists that grow old at all nodes until the reader is back, or until each asks for itself.
TEST(ReaderCutOff, NodesOnWhichOthersRelyQueryTheStoreOnceTheLeaderHasLostIt)
{
    FakePeerCluster cluster;
    auto& leader = cluster.add("a1", "dc-a");
    auto& deputy = cluster.add("a2", "dc-a");
    cluster.add("a3", "dc-a");
    auto& other = cluster.add("a4", "dc-a");
    auto& remoteHub = cluster.add("b1", "dc-b");
    auto& remoteDeputy = cluster.add("b2", "dc-b");
    cluster.shareNodeList();
    cluster.run(milliseconds(1500));
    auto queries = [](const fakes::PeerNode& node) { return node.role.shouldQueryStore(milliseconds(100), seconds(3)); };
    CHECK_FALSE(queries(deputy) || queries(remoteHub));
    leader.role.setStoreLost(true);
    cluster.run(milliseconds(700));
    CHECK_TRUE(queries(deputy));
    CHECK_TRUE(queries(remoteHub));
    CHECK_FALSE(queries(other));
    CHECK_FALSE(queries(remoteDeputy));
    // A hub that has lost the store, too, calls on its own deputies.
    remoteHub.role.setStoreLost(true);
    cluster.run(milliseconds(400));
    CHECK_TRUE(queries(remoteDeputy));
    leader.role.setStoreLost(false);
    cluster.run(milliseconds(2000));
    CHECK_FALSE(queries(deputy) || queries(remoteHub));
}

// Guards against upstreams that have left and stay in use after the reader's own cut.
TEST(ReaderCutOff, UpstreamThatLeftDuringTheReadersCutIsNotUsed)
{
    RestorableStore store;
    fleet::Fleet fleet { { "dc-a" } };
    sync::UpstreamListCache cache;
    sync::NodeRole role;
    sync::StoreEra era;
    sync::UpstreamListTask<RestorableStore> task { store, fleet, cache, role, era, seconds(3) };
    store.put("e1");
    CHECK_TRUE(task.poll());
    store.isDown = true;
    CHECK_FALSE(task.poll());
    CHECK_TRUE(role.hasLostStore());
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    condition.waitFor(mutex, milliseconds(1600));
    auto list = cache.snapshot()->list;
    cache.update({ list, base::BootClock {}.now() - milliseconds(500), {} });
    store.isDown = false;
    store.remove("e1");
    CHECK_TRUE(task.poll());
    CHECK_FALSE(role.hasLostStore());
    CHECK_FALSE(fleet.takesWork(RestorableStore::upstream("e1"), base::BootClock {}.now()));
}
