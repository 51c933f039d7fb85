#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>
#include <chrono>

using namespace redwingseam;
using forward::PartRegister;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Parts = std::vector<base::PromptPartHash>;

TEST_GROUP(PartQuarantineHealing)
{
    base::Instant now { seconds(100) };
    uint64_t nextFingerprint = 1;
    base::Instant m_quarantinedAt {};

    void crash(PartRegister & parts, const std::string& upstream, const Parts& hashes)
    {
        parts.recordCrash({ 0, { ++nextFingerprint }, { upstream }, hashes, now, now + milliseconds(50) }, now + milliseconds(50));
        now += milliseconds(600);
    }
};

// A release that crashes on every request is rolled back after a few seconds. Nobody ever tries the shared part again.
TEST(PartQuarantineHealing, SharedPartOfAReleaseThatCrashedIsTriedAgainWithinAnHour)
{
    PartRegister parts;
    const Parts shared { { 1 } };
    for (uint64_t i = 0; i < 7; ++i)
        crash(parts, "e" + std::to_string(i), { { 1 }, { 100 + i } });
    CHECK_TRUE(parts.isQuarantined(shared));
    bool isTried = false;
    for (int minute = 0; minute < 60 && !isTried; ++minute) {
        now += std::chrono::minutes(1);
        isTried = parts.tryBeginTrial(shared, now);
    }
    CHECK_TRUE(isTried);
}

// As above, for a part that made progress a second before.
TEST(PartQuarantineHealing, ProvenPartOfAReleaseThatCrashedIsTriedAgainWithinAMinute)
{
    PartRegister parts;
    const Parts shared { { 1 } };
    parts.recordProgress(shared, now);
    for (uint64_t i = 0; i < 6; ++i)
        crash(parts, "e" + std::to_string(i), shared);
    CHECK_TRUE(parts.isQuarantined(shared));
    bool isTried = false;
    for (int second = 0; second < 60 && !isTried; ++second) {
        now += seconds(1);
        isTried = parts.tryBeginTrial(shared, now);
    }
    CHECK_TRUE(isTried);
}

// The retention is applied only when another crash is recorded.
TEST(PartQuarantineHealing, QuarantineEndsAfterItsRetentionWithoutAnotherCrash)
{
    PartRegister parts;
    const Parts shared { { 1 } };
    for (uint64_t i = 0; i < 7; ++i)
        crash(parts, "e" + std::to_string(i), shared);
    now += hours(13);
    parts.apply({}, now);
    CHECK_FALSE(parts.isQuarantined(shared) && !parts.tryBeginTrial(shared, now));
}

// The client of a trial may leave before the upstream crashes, and no crash is recorded.
TEST(PartQuarantineHealing, TrialsWithoutAResultBecomeRarer)
{
    PartRegister parts;
    parts.recordProgress(Parts { { 1 } }, now);
    for (uint64_t i = 0; i < 2; ++i)
        crash(parts, "e" + std::to_string(i), { { 1 }, { 7 } });
    unsigned trials = 0;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(100);
        trials += parts.tryBeginTrial(Parts { { 7 } }, now);
    }
    CHECK_TRUE(trials <= 3);
}

// Requests that took two seconds to read were in flight when the third crash condemned the shared part.
TEST(PartQuarantineHealing, SharedPartHealsWhenRequestsInFlightCrashToo)
{
    PartRegister parts;
    const Parts shared { { 1 } };
    for (uint64_t i = 0; i < 20; ++i) {
        auto lostAt = now + milliseconds(600);
        bool wasSentBefore = !parts.isQuarantined(shared) || now - m_quarantinedAt < milliseconds(2400);
        if (!wasSentBefore)
            break;
        parts.recordCrash({ 0, { ++nextFingerprint }, { "e" + std::to_string(i) }, { { 1 }, { 100 + i } }, lostAt - seconds(2), lostAt }, lostAt);
        now = lostAt;
        if (!parts.isQuarantined(shared))
            m_quarantinedAt = now;
    }
    // The upstreams are sound from now on.
    bool isServed = false;
    unsigned second = 0;
    for (; second < 600 && !isServed; ++second) {
        now += seconds(1);
        isServed = parts.tryBeginTrial(shared, now);
    }
    CHECK_TRUE(isServed);
}

// A quiet node knows no progress of its own. The others had progress after each crash, and before its notice arrived.
TEST(PartQuarantineHealing, QuietNodeDoesNotBlockAPartThatItsNeighboursServe)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "a3", "a4" })
        cluster.add(name, "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    const Parts shared { { 1 } };
    auto serveElsewhere = [&] {
        for (size_t i : { 0, 3 })
            cluster.nodes[i]->crashes.parts.recordProgress(shared, cluster.now);
    };
    for (uint64_t i = 0; i < 8; ++i) {
        for (int step = 0; step < 30; ++step) {
            serveElsewhere();
            cluster.run(milliseconds(20));
        }
        // The notice waits for the next tick, up to 50 ms later, and the neighbours go on meanwhile.
        serveElsewhere();
        auto lostAt = cluster.now - milliseconds(30);
        cluster.nodes[1]->crashes.parts.recordCrash({ 0, { ++nextFingerprint }, { "e" + std::to_string(i) }, { { 1 }, { 70 + i % 3 } }, lostAt - milliseconds(300), lostAt }, lostAt);
    }
    for (int step = 0; step < 200; ++step) {
        serveElsewhere();
        cluster.run(milliseconds(20));
    }
    CHECK_FALSE(cluster.nodes[2]->crashes.parts.isQuarantined(shared));
}

// Nodes that disagree send each other their evidence with every query.
TEST(PartQuarantineHealing, NodesAgreeOnAPartThatOneOfThemHasServed)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "a3", "a4" })
        cluster.add(name, "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    const Parts part { { 1 } };
    cluster.nodes[0]->crashes.parts.recordProgress(part, cluster.now);
    for (uint64_t i = 0; i < 3; ++i) {
        cluster.nodes[1]->crashes.parts.recordCrash({ 0, { ++nextFingerprint }, { "e" + std::to_string(i) }, part, cluster.now, cluster.now + milliseconds(1) }, cluster.now);
        cluster.run(milliseconds(700));
    }
    cluster.run(seconds(5));
    bool first = cluster.nodes[0]->crashes.parts.isQuarantined(part);
    for (const auto& node : cluster.nodes)
        CHECK_TRUE(node->crashes.parts.isQuarantined(part) == first);
}

// Prompt affinity sends the requests of one session to the same broken upstream.
TEST(PartQuarantineHealing, OneBrokenUpstreamDoesNotCondemnAPart)
{
    PartRegister parts;
    parts.recordProgress(Parts { { 1 } }, now);
    crash(parts, "broken", { { 1 }, { 7 } });
    crash(parts, "broken", { { 1 }, { 7 } });
    CHECK_FALSE(parts.isQuarantined(Parts { { 7 } }));
}

// Otherwise a service with a single upstream would crash for ever.
TEST(PartQuarantineHealing, PartThatKeepsCrashingTheOnlyUpstreamIsQuarantined)
{
    PartRegister parts;
    parts.recordProgress(Parts { { 1 } }, now);
    for (int i = 0; i < 5; ++i)
        crash(parts, "only", { { 1 }, { 7 } });
    CHECK_TRUE(parts.isQuarantined(Parts { { 7 } }));
    CHECK_FALSE(parts.isQuarantined(Parts { { 1 } }));
}

// Progress that is older than the lifetime of a notice still speaks for the part.
TEST(PartQuarantineHealing, ProgressOfSomeSecondsAgoReachesTheOtherNodes)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "b1", "b2" })
        cluster.add(name, std::string("dc-") + name[0]);
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    const Parts part { { 1 } };
    cluster.nodes[1]->crashes.parts.recordProgress(part, cluster.now);
    cluster.run(seconds(10));
    for (uint64_t i = 0; i < 3; ++i) {
        cluster.nodes[2]->crashes.parts.recordCrash({ 0, { ++nextFingerprint }, { "e" + std::to_string(i) }, part, cluster.now, cluster.now + milliseconds(1) }, cluster.now);
        cluster.run(milliseconds(700));
    }
    for (const auto& node : cluster.nodes)
        CHECK_FALSE(node->crashes.parts.isQuarantined(part));
}

// An account that crashes upstreams by its bodies must not block the part on the nodes that it doesn't use.
TEST(PartQuarantineHealing, OtherNodesKnowTheAccountWhoseRequestsCrash)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2" })
        cluster.add(name, "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    const Parts part { { 1 } };
    for (uint64_t i = 0; i < 2; ++i) {
        cluster.nodes[0]->crashes.parts.recordCrash({ 0, { ++nextFingerprint }, { "e" + std::to_string(i) }, part, cluster.now, cluster.now + milliseconds(1), { 5 } }, cluster.now);
        cluster.run(milliseconds(700));
    }
    auto& parts = cluster.nodes[1]->crashes.parts;
    CHECK_TRUE(parts.isQuarantined(part));
    CHECK_FALSE(parts.isTrialDue(part, cluster.now, { 5 }));
    // The nodes take turns.
    cluster.run(milliseconds(1000));
    CHECK_TRUE(parts.isTrialDue(part, cluster.now, { 6 }));
}
