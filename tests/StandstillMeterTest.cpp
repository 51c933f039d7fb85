#include "node/StandstillMeter.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using std::chrono::milliseconds;

TEST_GROUP(StandstillMeter)
{
    node::StandstillMeter meter { milliseconds(50) };
    base::Instant now { std::chrono::seconds(100) };

    bool isPausedAfter(base::Duration sinceLastTick, base::Duration expected = {})
    {
        now += sinceLastTick;
        return meter.pauseBefore(now) == expected;
    }
};

TEST(StandstillMeter, FirstTickHasNoPauseBeforeIt)
{
    CHECK_TRUE(isPausedAfter({}));
}

TEST(StandstillMeter, TickThatIsALittleLateIsNoStandstill)
{
    CHECK_TRUE(isPausedAfter({}));
    CHECK_TRUE(isPausedAfter(milliseconds(50)));
    CHECK_TRUE(isPausedAfter(milliseconds(200)));
}

TEST(StandstillMeter, PauseIsTheTimeBeyondTheInterval)
{
    CHECK_TRUE(isPausedAfter({}));
    CHECK_TRUE(isPausedAfter(milliseconds(5050), milliseconds(5000)));
    CHECK_TRUE(isPausedAfter(milliseconds(50)));
}
