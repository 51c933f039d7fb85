#include "fleet/Fleet.h"
#include "forward/DrainRule.h"
#include "forward/EventSplitter.h"
#include "forward/StreamDurations.h"
#include "sync/OutageTracker.h"

#include "PropertyCheck.h"
#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace redwingseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Fleet)
{
    fakes::FleetFixture fixture;

    fleet::PlacementQuery query(uint64_t random = 1)
    {
        fleet::PlacementQuery query;
        query.service.text = "engines";
        query.engine = manifest::EngineSpec { 64, 88000, true, seconds(4) };
        query.promptTokens = 8000;
        query.maxOutputTokens = 650;
        query.wantsBackup = true;
        query.random = random * 0x9E3779B97F4A7C15ULL;
        query.now = fixture.clock.now();
        return query;
    }
};

TEST(Fleet, BackupIsPlacedInAnotherDataCentre)
{
    fixture.addEngines();
    for (uint64_t random = 0; random < 50; ++random) {
        auto placement = fixture.fleet.place(query(random));
        CHECK_TRUE(placement->backup.has_value());
        CHECK_TRUE(placement->backup->dataCentre != placement->target.dataCentre);
        // Leaves room for the next one: without it there is no backup.
        fixture.fleet.release(*placement);
    }
}

TEST(Fleet, BackupIsNeverPlacedInTheDataCentreOfItsRunForLackOfRoomElsewhere)
{
    fixture.addEngines();
    unsigned backups = 0;
    for (uint64_t random = 0; random < 50; ++random) {
        auto placement = fixture.fleet.place(query(random));
        if (!placement->backup)
            continue;
        ++backups;
        CHECK_TRUE(placement->backup->dataCentre != placement->target.dataCentre);
    }
    CHECK_TRUE(backups >= 18);
}

TEST(Fleet, BackupIsPlacedInTheOnlyDataCentre)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.addUpstream("e2", "engines", "dc-a");
    fixture.update();
    CHECK_TRUE(fixture.fleet.place(query())->backup.has_value());
}

TEST(Fleet, PromptsAreSpreadOverUpstreams)
{
    fixture.addEngines();
    std::set<base::UpstreamName> targets;
    for (uint64_t random = 0; random < 9; ++random)
        targets.insert(fixture.fleet.place(query(random))->target.id);
    LONGS_EQUAL(9, targets.size());
}

TEST(Fleet, LoadFromOtherNodesCounts)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.addUpstream("e2", "engines", "dc-a");
    fixture.update();
    fixture.fleet.setPeerLoads({ { { "e1" }, { 1, 8000, 8650 } } });
    for (uint64_t random = 0; random < 20; ++random) {
        auto placement = fixture.fleet.place(query(random));
        STRCMP_EQUAL("e2", placement->target.id.text.c_str());
        fixture.fleet.release(*placement);
    }
}

TEST(Fleet, DrainingAndUnlistedUpstreamsGetNoNewWork)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.addUpstream("e2", "engines", "dc-a");
    fixture.update();
    fixture.instances[0].isDraining = true;
    fixture.update();
    STRCMP_EQUAL("e2", fixture.fleet.place(query())->target.id.text.c_str());
    fixture.instances.erase(fixture.instances.begin() + 1);
    fixture.update();
    CHECK_FALSE(fixture.fleet.place(query()).has_value());
}

TEST(Fleet, EntryMissingAfterAStoreOutageIsKeptForTheGracePeriod)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.update();
    fixture.instances.clear();
    fixture.update(milliseconds(2400));
    CHECK_TRUE(fixture.fleet.place(query()).has_value());
    fixture.advance(milliseconds(2400));
    fixture.update(milliseconds(2400));
    CHECK_FALSE(fixture.fleet.place(query()).has_value());
}

TEST(Fleet, GracePeriodEndsWithoutAnotherListAndShrinksAfterTheStoreRecovers)
{
    // Guards against a grace period that restarts on every node and ends only with another list, which took 3.3 s
    // after the removal.
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.update();
    fixture.instances.clear();
    fixture.update(milliseconds(2400));
    fixture.advance(milliseconds(1000));
    fixture.update(milliseconds(300));
    fixture.advance(milliseconds(299));
    CHECK_TRUE(fixture.fleet.place(query()).has_value());
    fixture.advance(milliseconds(1));
    CHECK_FALSE(fixture.fleet.place(query()).has_value());
    sync::OutageTracker outages;
    auto now = fixture.clock.now();
    outages.recordResult(true, now);
    outages.recordResult(false, now + seconds(1));
    outages.recordResult(true, now + seconds(6));
    CHECK_TRUE(outages.missingEntryGrace(now + seconds(7)) == milliseconds(1400));
}

TEST(Fleet, GracePeriodForMissingEntriesFollowsOnlyALongOutage)
{
    sync::OutageTracker outages;
    auto now = fixture.clock.now();
    outages.recordResult(true, now);
    CHECK_TRUE(outages.recordResult(false, now + seconds(1)));
    CHECK_TRUE(outages.recordResult(true, now + milliseconds(1200)));
    CHECK_TRUE(outages.missingEntryGrace(now + milliseconds(1200)) == base::Duration {});
    outages.recordResult(false, now + seconds(2));
    outages.recordResult(true, now + seconds(6));
    CHECK_TRUE(outages.missingEntryGrace(now + seconds(7)) > base::Duration {});
    CHECK_TRUE(outages.missingEntryGrace(now + seconds(9)) == base::Duration {});
}

TEST(Fleet, SuspectedUpstreamIsUsedOnlyAsALastResort)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.addUpstream("e2", "engines", "dc-b");
    fixture.update();
    fixture.fleet.suspect(fixture.instances[0], fleet::SuspicionCause::Silent, fixture.clock.now());
    STRCMP_EQUAL("e2", fixture.fleet.place(query())->target.id.text.c_str());
    fixture.fleet.suspect(fixture.instances[1], fleet::SuspicionCause::Silent, fixture.clock.now());
    CHECK_TRUE(fixture.fleet.place(query()).has_value());
}

TEST(Fleet, FewFailuresAmongManyUpstreamsAreNotADataCentreOutage)
{
    // With many upstreams, some of a data centre are always restarting. Avoiding the whole data centre would overload
    // the others.
    fleet::DataCentreHealth health;
    health.setUpstreamCount(47);
    auto now = fixture.clock.now();
    for (int i = 0; i < 9; ++i)
        health.recordFailure({ "e" + std::to_string(i) }, now);
    CHECK_FALSE(health.isOutageSuspected(now));
    health.recordFailure({ "e9" }, now);
    CHECK_TRUE(health.isOutageSuspected(now));
    CHECK_FALSE(health.isOutageSuspected(now + milliseconds(1200)));
}

TEST(Fleet, SuspicionBacksOffExponentiallyUpToALimit)
{
    fleet::Suspicion suspicion;
    auto now = fixture.clock.now();
    suspicion.add(fleet::SuspicionCause::Unreachable, now);
    CHECK_TRUE(suspicion.isActive(now + milliseconds(599)));
    CHECK_FALSE(suspicion.isActive(now + milliseconds(600)));
    suspicion.add(fleet::SuspicionCause::Unreachable, now + seconds(1));
    CHECK_TRUE(suspicion.isActive(now + milliseconds(2199)));
    for (int i = 2; i < 40; ++i)
        suspicion.add(fleet::SuspicionCause::Unreachable, now + seconds(10 * i));
    CHECK_FALSE(suspicion.isActive(now + seconds(390) + milliseconds(3000)));
}

TEST(Fleet, RetriesStayWithinTheBudgetOfTheWindow)
{
    CHECK_PROPERTY("in any window retries are at most ratio times requests plus slack", [](const std::vector<std::pair<uint16_t, bool>>& steps) {
        fleet::RetryBudget window;
        fleet::RetryLimits limits { 0.8, 5, seconds(10) };
        base::Instant now { seconds(1000) };
        std::vector<base::Instant> requests;
        std::vector<base::Instant> retries;
        for (auto [gap, isRequest] : steps) {
            now += milliseconds(gap % 700);
            if (isRequest) {
                window.countRequest(now);
                requests.push_back(now);
            } else if (window.tryAcquireRetry(limits, now)) {
                retries.push_back(now);
            }
            auto recent = [&](const std::vector<base::Instant>& moments, base::Duration span) {
                return static_cast<double>(std::count_if(moments.begin(), moments.end(), [&](base::Instant moment) { return now - moment < span; }));
            };
            // The budget counts in buckets of one second and includes one more than the window, so requests of up to
            // one bucket before the window may count, which the platform's rule allows.
            RC_ASSERT(recent(retries, seconds(10)) <= 0.8 * recent(requests, seconds(12)) + 5);
        }
    });
}

TEST(Fleet, NodesShareTheSlackOfTheRetryLimits)
{
    // Guards against each node using the whole slack, which allowed nine nodes nine times as many retries.
    fleet::RetryLimits limits { 0.0, 150, seconds(10) };
    unsigned retries = 0;
    for (int node = 0; node < 9; ++node) {
        fleet::Fleet fleet({ "dc" });
        fleet.setNodeCount(9);
        while (fleet.tryAcquireRetry({ "s" }, limits, fixture.clock.now()))
            ++retries;
    }
    CHECK_TRUE(retries <= 150);
    CHECK_TRUE(retries > 100);
}

TEST(Fleet, NodeWithASingleRequestMayRetryItInAFleetWithMoreNodesThanSlack)
{
    // Guards against rounding each node's share of the slack down to 0, which left most streams of a large fleet without
    // a retry after their upstream crashed.
    static constexpr unsigned nodeCount = 195;
    fleet::RetryLimits limits { 0.8, 150, seconds(10) };
    unsigned retries = 0;
    for (unsigned node = 0; node < nodeCount; ++node) {
        fleet::Fleet fleet({ "dc" });
        fleet.setNodeCount(nodeCount);
        fleet.countRequest({ "s" }, fixture.clock.now());
        CHECK_TRUE(fleet.tryAcquireRetry({ "s" }, limits, fixture.clock.now()));
        ++retries;
        while (fleet.tryAcquireRetry({ "s" }, limits, fixture.clock.now()))
            ++retries;
    }
    CHECK_TRUE(retries <= limits.ratio * nodeCount + limits.slack);
}

TEST(Fleet, NodeThatReportedAFailureTriesTheUpstreamBeforeTheOthers)
{
    // Replays a dark engine in a flood: hundreds of nodes with the same report tried it at the same moment.
    for (const char* id : { "e1", "e2", "e3" })
        fixture.addUpstream(id, "engines", "dc-a");
    fixture.update();
    fleet::Fleet other({ "dc-b" });
    other.update(fixture.instances, fixture.clock.now(), {});
    for (int i : { 2, 1, 0 })
        fixture.fleet.suspect(fixture.instances[static_cast<size_t>(i)], fleet::SuspicionCause::Silent, fixture.clock.now());
    for (const auto& report : fixture.fleet.takeSuspicionReports())
        other.applySuspicionReport(report);
    fixture.advance(milliseconds(700));
    CHECK_TRUE(fixture.fleet.takesWork(fixture.instances[0], fixture.clock.now()));
    CHECK_FALSE(other.takesWork(fixture.instances[0], fixture.clock.now()));
    // A connection attempt that fails takes 350 ms, and the report of it up to 500 ms.
    fixture.advance(milliseconds(850));
    CHECK_FALSE(other.takesWork(fixture.instances[0], fixture.clock.now()));
    fixture.advance(milliseconds(500));
    CHECK_TRUE(other.takesWork(fixture.instances[0], fixture.clock.now()));
}

TEST(Fleet, ReportOfASingleFailureEjectsAnUpstreamOnlyBriefly)
{
    // A service may have few upstreams, and one lost connection says little about the next one.
    for (const char* id : { "d1", "d2", "d3" })
        fixture.addUpstream(id, "desk", "dc-a");
    fixture.update();
    fixture.fleet.applySuspicionReport({ { "d1" }, { "desk" }, fleet::SuspicionCause::Silent, fixture.clock.now(), 1 });
    fixture.advance(milliseconds(700));
    CHECK_TRUE(fixture.fleet.takesWork(fixture.instances[0], fixture.clock.now()));
}

TEST(Fleet, ReplacedUpstreamIsReportedToOtherNodesWithItsIncarnation)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.addUpstream("d2", "desk", "dc-a");
    fixture.update();
    fixture.fleet.suspect(fixture.instances[0], fleet::SuspicionCause::Replaced, fixture.clock.now());
    auto reports = fixture.fleet.takeSuspicionReports();
    LONGS_EQUAL(1, reports.size());
    fleet::Fleet other({ "dc-b" });
    other.update(fixture.instances, fixture.clock.now(), {});
    // The new process at the address accepts connections, which does not make it the listed instance.
    other.recordContact(fixture.instances[0], fixture.clock.now());
    other.applySuspicionReport(reports.front());
    CHECK_FALSE(other.takesWork(fixture.instances[0], fixture.clock.now()));
    CHECK_TRUE(other.takesWork(fixture.instances[1], fixture.clock.now()));
    // A node that knows a later incarnation under the same name keeps it.
    auto restarted = fixture.instances;
    ++restarted[0].incarnation;
    fleet::Fleet newer({ "dc-b" });
    newer.update(restarted, fixture.clock.now(), {});
    newer.applySuspicionReport(reports.front());
    CHECK_TRUE(newer.takesWork(restarted[0], fixture.clock.now()));
}

TEST(Fleet, DrainingNodeAdmitsOnlyRequestsThatEndInTime)
{
    forward::DrainRule rule(seconds(8));
    manifest::Route stream;
    stream.kind = manifest::RouteKind::Stream;
    stream.timeout = seconds(25);
    manifest::Route plain;
    plain.timeout = milliseconds(1200);
    forward::StreamDurations durations;
    auto admits = [&](const manifest::Route& route, base::Duration sinceDrainBegan) { return sinceDrainBegan < rule.latestStart(route, durations.estimate()); };
    CHECK_TRUE(admits(stream, milliseconds(1700)));
    CHECK_FALSE(admits(stream, milliseconds(2000)));
    CHECK_TRUE(admits(plain, seconds(6)));
    CHECK_FALSE(admits(plain, milliseconds(7500)));
    // Streams take longer under load, so a draining node must reject them sooner.
    for (int i = 0; i < 10; ++i)
        durations.record(milliseconds(5000 + 500 * i));
    CHECK_TRUE(durations.estimate() == milliseconds(9000));
    CHECK_FALSE(admits(stream, {}));
    CHECK_TRUE(admits(plain, {}));
    for (int i = 0; i < 64; ++i)
        durations.record(milliseconds(3000));
    CHECK_TRUE(admits(stream, milliseconds(1700)));
    CHECK_FALSE(admits(stream, milliseconds(2000)));
}

TEST(Fleet, EventsAreSplitIndependentlyOfHowTheirBytesArrive)
{
    CHECK_PROPERTY("chunks of any size yield the same events", [](const std::vector<uint8_t>& sizes) {
        const std::string whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\ndata: c\n\nredwingseam: 3\nid: 7\n\nid: 8\nda";
        forward::EventSplitter splitter;
        std::vector<forward::StreamEvent> events;
        size_t at = 0;
        for (size_t i = 0; at < whole.size(); ++i) {
            auto size = sizes.empty() ? whole.size() : 1 + sizes[i % sizes.size()] % 9;
            for (auto& event : splitter.push(std::string_view(whole).substr(at, size)))
                events.push_back(std::move(event));
            at += size;
        }
        RC_ASSERT(events.size() == 4U);
        RC_ASSERT(events[0].id == std::optional<uint64_t>(1));
        RC_ASSERT(events[1].id == std::optional<uint64_t>(2));
        RC_ASSERT(!events[2].id.has_value());
        RC_ASSERT(events[3].id == std::optional<uint64_t>(7));
        RC_ASSERT(splitter.hasPartial());
        std::string joined;
        for (const auto& event : events)
            joined += event.bytes;
        RC_ASSERT(whole.starts_with(joined));
    });
}
