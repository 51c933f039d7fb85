#include "node/Pool.h"
#include "route/SubsetChooser.h"
#include "schedule/FairQueue.h"

#include "PropertyCheck.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using base::Rank;

namespace {

schedule::QueuedWork workOf(uint64_t id, Rank rank, const std::string& client, uint64_t cost)
{
    schedule::QueuedWork work { { id }, {}, { client }, rank, cost };
    work.deadline = base::Instant(std::chrono::hours(1));
    return work;
}

} // namespace

TEST_GROUP(Schedule) {};

TEST(Schedule, WorkIsNeitherLostNorDispatchedTwice)
{
    CHECK_PROPERTY("every item of work is dispatched exactly once", [](const std::vector<uint16_t>& words) {
        schedule::FairQueue queue;
        std::set<uint64_t> queuedIds;
        uint64_t id = 0;
        for (auto word : words) {
            if (word % 3) {
                auto rank = static_cast<Rank>((word / 3) % 3);
                queue.push(workOf(++id, rank, "c" + std::to_string((word / 9) % 5), 1 + (word / 45) % 100));
                queuedIds.insert(id);
            } else if (auto work = queue.pop()) {
                RC_ASSERT(queuedIds.erase(work->request.value) == 1U);
            } else {
                RC_ASSERT(queuedIds.empty());
            }
            RC_ASSERT(queue.size() == queuedIds.size());
        }
    });
}

TEST(Schedule, LowerRanksKeepTheirFloorsUnderOverload)
{
    CHECK_PROPERTY("share of cost served while all ranks wait", [](uint8_t urgentCost, uint8_t otherCost) {
        schedule::FairQueue queue;
        std::array<double, base::rankCount> served {};
        uint64_t id = 0;
        double total = 0;
        for (int i = 0; i < 5000; ++i) {
            for (auto rank : { Rank::Urgent, Rank::Standard, Rank::Deferrable }) {
                while (queue.waiting(rank) < 5)
                    queue.push(workOf(++id, rank, "c", 1U + (rank == Rank::Urgent ? urgentCost : otherCost)));
            }
            auto work = queue.pop();
            served[base::indexOf(work->rank)] += static_cast<double>(work->cost);
            total += static_cast<double>(work->cost);
        }
        RC_ASSERT(served[1] / total >= 0.15 * 0.95);
        RC_ASSERT(served[2] / total >= 0.05 * 0.95);
        RC_ASSERT(served[0] / total >= 0.75);
    });
}

TEST(Schedule, NoClientWaitsBehindAnothersBacklog)
{
    CHECK_PROPERTY("a new client is served after at most one item of each waiting client", [](uint8_t clients, uint8_t backlog) {
        schedule::FairQueue queue;
        uint64_t id = 0;
        size_t others = 1 + clients % 20;
        for (size_t client = 0; client < others; ++client) {
            for (size_t i = 0; i <= backlog; ++i)
                queue.push(workOf(++id, Rank::Standard, "large-" + std::to_string(client), 50));
        }
        for (size_t i = 0; i < others; ++i)
            queue.pop();
        queue.push(workOf(1'000'000, Rank::Standard, "small", 50));
        size_t before = 0;
        while (queue.pop()->request.value != 1'000'000)
            ++before;
        RC_ASSERT(before <= others);
    });
}

TEST(Schedule, PreemptedWorkDoesNotTakeItsSlotBack)
{
    // If a preempted stream takes any free slot at once, it is preempted again in an endless loop.
    schedule::FairQueue queue;
    auto work = workOf(1, Rank::Deferrable, "c", 50);
    work.isResume = true;
    work.isPreempted = true;
    queue.push(work);
    CHECK_FALSE(queue.popResume().has_value());
    work.request = { 2 };
    work.isPreempted = false;
    queue.push(work);
    LONGS_EQUAL(2, queue.popResume()->request.value);
    LONGS_EQUAL(1, queue.size());
}

TEST(Schedule, LimitsAreNeverExceeded)
{
    CHECK_PROPERTY("own requests at an upstream stay within limit and reserve", [](const std::vector<uint16_t>& words) {
        node::Pool<schedule::FairQueue, route::SubsetChooser> pool(route::SubsetChooser({ "vm" }));
        for (int i = 0; i < 4; ++i)
            pool.upsert({ { "up-" + std::to_string(i) }, route::UpstreamKind::Engine, { "m@1" }, { "dc" }, "", 16, 1, route::UpstreamState::Live }, 0, 3);
        std::minstd_rand random(1);
        uint64_t id = 0;
        for (auto word : words) {
            pool.push(workOf(++id, static_cast<Rank>(word % 3), "c", 50));
            if (word % 7 == 0)
                pool.observe(route::LoadReport { { "up-" + std::to_string(word % 4) }, static_cast<uint32_t>(word % 20), 0, false });
            // A limit may shrink below the number of requests in flight; no request is added then.
            while (auto dispatch = pool.next(base::Instant {}, random)) {
                for (const auto& view : pool.upstreams()) {
                    if (view.record.name != dispatch->upstream.name)
                        continue;
                    RC_ASSERT(view.ownRequests() <= view.limit.value() + view.limit.reserve());
                    RC_ASSERT(dispatch->work.rank == Rank::Urgent || view.ownRequests() - view.ownRequestsOfRank(Rank::Urgent) <= view.limit.value());
                }
            }
        }
    });
}

TEST(Schedule, LimitConvergesOnItsShareWithoutQueueing)
{
    // Three nodes that use their whole limits converge on the target, whatever their initial fractions.
    std::array limits { route::ConcurrencyLimit(40, 3, 100), route::ConcurrencyLimit(40, 3, 500), route::ConcurrencyLimit(40, 3, 900) };
    for (int report = 0; report < 200; ++report) {
        uint32_t total = 0;
        for (const auto& limit : limits)
            total += limit.value();
        for (auto& limit : limits)
            limit.observe(std::min(total, 40U), total > 40 ? total - 40 : 0, limit.value());
    }
    uint32_t total = 0;
    for (const auto& limit : limits)
        total += limit.value();
    CHECK_TRUE(total >= 33);
    CHECK_TRUE(total <= 37);
}
