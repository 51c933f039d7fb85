#include "forward/PartRegister.h"

#include "PropertyCheck.h"
#include "fakes/FakePeerCluster.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::PartCrash;
using forward::PartRegister;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Parts = std::vector<base::PromptPartHash>;

TEST_GROUP(PartRegister)
{
    PartRegister parts;
    base::Instant now { seconds(100) };
    uint64_t nextFingerprint = 1;

    // Records that an upstream crashed 50 ms after a new request with the parts was sent to it.
    void crash(const std::string& upstream, const Parts& hashes)
    {
        crashAgain(++nextFingerprint, upstream, hashes);
    }

    void crashAgain(uint64_t fingerprint, const std::string& upstream, const Parts& hashes)
    {
        parts.recordCrash({ 0, { fingerprint }, { upstream }, hashes, now, now + milliseconds(50) }, now + milliseconds(50));
        now += milliseconds(100);
    }

    bool isQuarantined(uint64_t part)
    {
        base::PromptPartHash hash { part };
        return parts.isQuarantined({ &hash, 1 });
    }

    bool tryBeginTrial(uint64_t part)
    {
        base::PromptPartHash hash { part };
        return parts.tryBeginTrial({ &hash, 1 }, now);
    }

    void progress(const Parts& hashes) { parts.recordProgress(hashes, now); }
};

TEST(PartRegister, PartThatAllCrashesShareIsQuarantined)
{
    crash("e1", { { 1 }, { 7 } });
    crash("e2", { { 2 }, { 7 } });
    CHECK_FALSE(isQuarantined(7));
    crash("e3", { { 3 }, { 7 } });
    CHECK_TRUE(isQuarantined(7));
    for (uint64_t part : { 1, 2, 3 })
        CHECK_FALSE(isQuarantined(part));
}

TEST(PartRegister, SharedPartWithProgressIsNotBlamed)
{
    progress({ { 1 }, { 2 } });
    for (int i = 0; i < 5; ++i)
        crash("e" + std::to_string(i), { { 1 }, { 7 } });
    CHECK_TRUE(isQuarantined(7));
    CHECK_FALSE(isQuarantined(1));
}

TEST(PartRegister, OnlyUnprovenPartIsQuarantinedAfterTwoCrashes)
{
    progress({ { 1 } });
    crash("e1", { { 1 }, { 7 } });
    CHECK_FALSE(isQuarantined(7));
    crash("e2", { { 1 }, { 7 } });
    CHECK_TRUE(isQuarantined(7));
}

TEST(PartRegister, RequestThatCrashesUpstreamsAsAWholeDoesNotCondemnItsParts)
{
    for (int i = 0; i < 8; ++i)
        crashAgain(5, "e" + std::to_string(i), { { 1 }, { 2 } });
    CHECK_FALSE(isQuarantined(1));
    CHECK_FALSE(isQuarantined(2));
}

TEST(PartRegister, UpstreamsThatFailTogetherCountOnce)
{
    for (uint64_t i = 0; i < 20; ++i)
        parts.recordCrash({ 0, { i }, { "e" + std::to_string(i) }, { { 7 } }, now - milliseconds(i), now + milliseconds(i) }, now);
    CHECK_FALSE(isQuarantined(7));
}

// Other requests that an upstream was reading when it crashed are lost with it.
TEST(PartRegister, RequestsThatAreLostBesideTheCauseAreNotBlamed)
{
    for (int i = 0; i < 5; ++i) {
        auto upstream = "e" + std::to_string(i);
        uint64_t part = i < 3 ? 50 : 60;
        parts.recordCrash({ 0, { 900U + static_cast<unsigned>(i) }, { upstream }, { { part } }, now, now + milliseconds(51) }, now);
        crash(upstream, { { 1000U + static_cast<unsigned>(i) }, { 7 } });
    }
    CHECK_TRUE(isQuarantined(7));
    CHECK_FALSE(isQuarantined(50));
    CHECK_FALSE(isQuarantined(60));
}

TEST(PartRegister, PartBlamedByChanceIsReleasedWhenAnotherExplainsItsCrashes)
{
    for (int i = 0; i < 3; ++i)
        crash("e" + std::to_string(i), { { 7 }, { 8 } });
    // Nothing tells the two apart yet.
    CHECK_TRUE(isQuarantined(8));
    crash("e4", { { 7 }, { 9 } });
    CHECK_TRUE(isQuarantined(7));
    CHECK_FALSE(isQuarantined(8));
}

TEST(PartRegister, ProgressInATrialEndsAWrongQuarantine)
{
    for (int i = 0; i < 3; ++i)
        crash("e" + std::to_string(i), { { 7 } });
    CHECK_TRUE(isQuarantined(7));
    CHECK_FALSE(tryBeginTrial(7));
    now += seconds(20);
    CHECK_TRUE(tryBeginTrial(7));
    CHECK_FALSE(tryBeginTrial(7));
    CHECK_TRUE(isQuarantined(7));
    progress({ { 7 } });
    CHECK_FALSE(isQuarantined(7));
}

TEST(PartRegister, DeadlyPartIsTriedThreeTimesAfterItsFifthCrashAtMost)
{
    unsigned trials = 0;
    for (int i = 0; i < 5; ++i)
        crash("e" + std::to_string(i), { { 7 } });
    for (int second = 0; second < 11 * 3600; ++second) {
        now += seconds(1);
        if (!tryBeginTrial(7))
            continue;
        ++trials;
        crash("e1", { { 7 } });
    }
    CHECK_TRUE(trials >= 1);
    CHECK_TRUE(trials <= 3);
}

TEST(PartRegister, SoundPartsAreNeverBlockedForLong)
{
    CHECK_PROPERTY("random prefixes, racks that fail and a deadly part", [](const std::vector<uint32_t>& steps, bool hasDeadlyPart) {
        PartRegister parts;
        base::Instant now { seconds(100) };
        static constexpr base::PromptPartHash shared { 1 };
        static constexpr base::PromptPartHash deadly { 99 };
        base::Instant blockedSince {};
        uint64_t fingerprint = 1;
        for (auto step : steps) {
            now += milliseconds(step % 700);
            Parts prefix { shared, { 10 + step % 5 } };
            bool isDeadly = hasDeadlyPart && step % 3 == 0;
            if (isDeadly)
                prefix.push_back(deadly);
            if (parts.isQuarantined(prefix) && !parts.tryBeginTrial(prefix, now)) {
                if (!isDeadly && blockedSince == base::Instant {})
                    blockedSince = now;
                RC_ASSERT(blockedSince == base::Instant {} || now - blockedSince < seconds(6));
                continue;
            }
            ++fingerprint;
            // In every seventh step the four upstreams of a rack fail together.
            if (step % 7 == 0) {
                for (uint64_t i = 0; i < 4; ++i)
                    parts.recordCrash({ 0, { fingerprint * 10 + i }, { "rack" + std::to_string(i) }, prefix, now - milliseconds(300), now }, now);
            } else if (isDeadly) {
                parts.recordCrash({ 0, { fingerprint }, { "e" + std::to_string(step % 4) }, prefix, now - milliseconds(300), now }, now);
            } else {
                parts.recordProgress(prefix, now);
                blockedSince = {};
            }
        }
    });
}

TEST(PartRegister, MemoryIsBoundedAndQuarantinedPartsAreKept)
{
    for (int i = 0; i < 3; ++i)
        crash("e" + std::to_string(i), { { 7 } });
    for (uint64_t i = 0; i < 3000; ++i) {
        now += milliseconds(1);
        crash("f" + std::to_string(i), { { 1000 + i } });
    }
    for (uint64_t i = 0; i < 100'000; ++i)
        progress({ { 100'000 + i } });
    CHECK_TRUE(isQuarantined(7));
    CHECK_TRUE(parts.evidence().crashes.size() <= 3);
    CHECK_TRUE(parts.takeReports().crashes.size() <= 64);
}

TEST(PartRegister, NodesShareQuarantineClearancesAndTrials)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "b1", "b2", "c1" })
        cluster.add(name, std::string("dc-") + name[0]);
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    const Parts prefix { { UINT64_MAX - 1 }, { 7 } };
    const Parts deadly { { 7 } };
    for (uint64_t i = 0; i < 3; ++i) {
        auto& node = *cluster.nodes[i + 1];
        node.crashes.parts.recordCrash({ 0, { i + 1 }, { "e" + std::to_string(i) }, prefix, cluster.now, cluster.now + milliseconds(5) }, cluster.now);
        cluster.run(milliseconds(300));
    }
    for (const auto& node : cluster.nodes)
        CHECK_TRUE(node->crashes.parts.isQuarantined(deadly));
    // A hub that restarts knows nothing and learns it from its neighbour.
    auto& hub = cluster.add("a0", "dc-a");
    cluster.shareNodeList();
    cluster.run(milliseconds(1500));
    CHECK_TRUE(hub.crashes.parts.isQuarantined(deadly));
    // One node tries the part, and the others wait for the result.
    cluster.run(seconds(20));
    unsigned trials = 0;
    for (const auto& node : cluster.nodes) {
        trials += node->crashes.parts.tryBeginTrial(deadly, cluster.now);
        cluster.run(milliseconds(200));
    }
    LONGS_EQUAL(1, trials);
    cluster.nodes[2]->crashes.parts.recordProgress(prefix, cluster.now);
    cluster.run(milliseconds(700));
    for (const auto& node : cluster.nodes)
        CHECK_FALSE(node->crashes.parts.isQuarantined(prefix));
}
