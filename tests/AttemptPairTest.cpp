#include "forward/AttemptPair.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::AttemptOutcome;
using std::chrono::milliseconds;

TEST_GROUP(AttemptPair)
{
    static constexpr milliseconds keepLimit { 200 };

    forward::AttemptPair attempts { keepLimit };
    base::Instant now { std::chrono::seconds(100) };

    static fleet::Placement placementAt(const std::string& name)
    {
        fleet::Placement placement;
        placement.target.id = { name };
        placement.backup = fleet::UpstreamInstance {};
        placement.backup->address = name + "-backup";
        return placement;
    }

    // Keeps an attempt at `a` beside one at `b` that is connecting.
    void keepFirst(forward::AttemptPair & pair)
    {
        pair.begin(placementAt("a"), true, now);
        pair.current().hasEvent = true;
        pair.keepCurrent();
        pair.begin(placementAt("b"), true, now);
        pair.current().isConnecting = true;
    }

    // Writes the request to the other upstream.
    void write(forward::AttemptPair & pair)
    {
        pair.current().isConnecting = false;
        pair.current().writtenAt = now;
    }

    void checkCurrent(const char* name) { STRCMP_EQUAL(name, attempts.current().placement->target.id.text.c_str()); }
};

TEST(AttemptPair, BeginsWithoutAKeptAttempt)
{
    attempts.begin(placementAt("a"), true, now);
    checkCurrent("a");
    CHECK_FALSE(attempts.isAnyKept());
    CHECK_FALSE(attempts.mayBothRun());
    CHECK_FALSE(attempts.isKeptOverdue(now + std::chrono::hours(1)));
    CHECK_FALSE(attempts.takeKept().has_value());
}

TEST(AttemptPair, OnlyOneRunsWhileTheOtherIsConnecting)
{
    keepFirst(attempts);
    checkCurrent("b");
    CHECK_TRUE(attempts.isAnyKept());
    CHECK_FALSE(attempts.mayBothRun());
    CHECK_FALSE(attempts.isKeptOverdue(now + std::chrono::hours(1)));
}

TEST(AttemptPair, KeptAttemptIsOverdueAfterTheLimitFromTheWriting)
{
    keepFirst(attempts);
    now += milliseconds(350);
    write(attempts);
    CHECK_TRUE(attempts.mayBothRun());
    CHECK_FALSE(attempts.isKeptOverdue(now + keepLimit - milliseconds(1)));
    CHECK_TRUE(attempts.isKeptOverdue(now + keepLimit));
}

TEST(AttemptPair, KeptAttemptIsNeverOverdueWithoutALimit)
{
    forward::AttemptPair unlimited(std::nullopt);
    keepFirst(unlimited);
    write(unlimited);
    CHECK_TRUE(unlimited.mayBothRun());
    CHECK_FALSE(unlimited.isKeptOverdue(now + std::chrono::hours(1)));
}

TEST(AttemptPair, GoesBackToTheKeptAttempt)
{
    keepFirst(attempts);
    attempts.goBack(false);
    checkCurrent("a");
    CHECK_FALSE(attempts.isAnyKept());
    STRCMP_EQUAL("a-backup", attempts.backupAddress()->c_str());
}

TEST(AttemptPair, BackupThatIsMissingIsNotAskedForAgain)
{
    keepFirst(attempts);
    attempts.goBack(true);
    CHECK_FALSE(attempts.backupAddress().has_value());
}

TEST(AttemptPair, BackupIsThatOfTheRunWithTheLastEvent)
{
    keepFirst(attempts);
    STRCMP_EQUAL("a-backup", attempts.backupAddress()->c_str());
    attempts.takeKept();
    CHECK_FALSE(attempts.backupAddress().has_value());
    attempts.current().hasEvent = true;
    STRCMP_EQUAL("b-backup", attempts.backupAddress()->c_str());
}

TEST(AttemptPair, KeptAttemptIsTakenOnce)
{
    keepFirst(attempts);
    STRCMP_EQUAL("a", attempts.takeKept()->placement->target.id.text.c_str());
    CHECK_FALSE(attempts.takeKept().has_value());
    checkCurrent("b");
}

TEST(AttemptPair, PauseIsNoSilenceOfEither)
{
    keepFirst(attempts);
    now += milliseconds(500);
    attempts.discountPause(milliseconds(300), now);
    CHECK_TRUE(attempts.current().lastActivity == now - milliseconds(200));
    CHECK_TRUE(attempts.kept()->lastActivity == now - milliseconds(200));
    // No event has arrived yet.
    CHECK_TRUE(attempts.current().lastProgress == base::Instant {});
}

TEST(AttemptPair, BytesOfTheKeptAttemptShowThatItIsReached)
{
    attempts.begin(placementAt("a"), true, now);
    attempts.current().isUnreachable = true;
    attempts.keepCurrent();
    attempts.begin(placementAt("b"), true, now);
    now += milliseconds(10);
    attempts.recordKeptActivity(now);
    CHECK_FALSE(attempts.kept()->isUnreachable);
    CHECK_TRUE(attempts.kept()->lastActivity == now);
    CHECK_TRUE(attempts.current().lastActivity == now - milliseconds(10));
}

TEST(AttemptPair, AttemptThatWasNotConnectedDidNotRun)
{
    keepFirst(attempts);
    CHECK_TRUE(attempts.current().silentOutcome() == AttemptOutcome::NotConnected);
    CHECK_TRUE(attempts.kept()->silentOutcome() == AttemptOutcome::Silent);
}
