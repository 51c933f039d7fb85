#include "forward/PartRegister.h"

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
