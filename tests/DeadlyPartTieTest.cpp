#include "forward/PartRegister.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using forward::PartRegister;
using std::chrono::milliseconds;

TEST_GROUP(DeadlyPartTie)
{
    PartRegister parts;
    unsigned upstreams = 0;
    const std::vector<base::PromptPartHash> prefix { { 1 }, { 7 } };

    void crash(uint64_t fingerprint, int sentMs, int lostMs)
    {
        base::Instant start { std::chrono::seconds(100) };
        auto lostAt = start + milliseconds(lostMs);
        parts.recordCrash({ 0, { fingerprint }, { "e" + std::to_string(++upstreams) }, prefix, start + milliseconds(sentMs), lostAt }, lostAt);
    }
};

// Two requests crash four upstreams, one of them on its own three. The times are those of a run.
TEST(DeadlyPartTie, RetriesOfOneRequestDoNotEndTheQuarantineOfItsPart)
{
    crash(1, 7390, 9200);
    crash(1, 9270, 10430);
    crash(2, 10130, 11530);
    CHECK_TRUE(parts.isQuarantined(prefix));
    crash(1, 10440, 11750);
    CHECK_TRUE(parts.isQuarantined(prefix));
}

// Requests that are tried again side by side.
TEST(DeadlyPartTie, ThreeConcurrentRequestsCrashSevenUpstreamsAtMost)
{
    struct Crash {
        uint64_t fingerprint;
        int sentMs;
        int lostMs;
    };
    static constexpr Crash crashes[] = {
        { 1, 27370, 28640 }, { 2, 27660, 28830 }, { 1, 28640, 29880 }, { 3, 27590, 29960 }, { 2, 28840, 30100 }, { 1, 29880, 31120 },
        { 2, 30100, 31250 }, { 3, 29960, 32450 }, { 2, 31350, 32460 }, { 1, 31190, 32640 }
    };
    unsigned needed = 0;
    for (const auto& item : crashes) {
        crash(item.fingerprint, item.sentMs, item.lostMs);
        ++needed;
        if (parts.isQuarantined(prefix))
            break;
    }
    CHECK_TRUE(needed <= 7);
}
