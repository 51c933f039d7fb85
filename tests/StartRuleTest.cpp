#include "sync/StartRule.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using std::chrono::milliseconds;
using sync::StartView;

TEST_GROUP(StartRule)
{
    sync::StartRule early { 0.0 };
    sync::StartRule late { 1.0 };
};

TEST(StartRule, FirstNodeFollowsTheStoreAtOnce)
{
    CHECK_TRUE(late.begins(StartView { {}, true, true, false }));
}

TEST(StartRule, NodeThatWasToldFollowsAtOnce)
{
    CHECK_TRUE(late.begins(StartView { milliseconds(20), false, false, true }));
}

TEST(StartRule, NodeThatHearsOfNoneBeforeItWaitsAMoment)
{
    CHECK_FALSE(late.begins(StartView { milliseconds(250), false, true, false }));
    CHECK_TRUE(late.begins(StartView { milliseconds(300), false, true, false }));
}

TEST(StartRule, NodesThatHearOfAnUninformedOneLeaveTheStoreToItForSomeTime)
{
    CHECK_FALSE(early.begins(StartView { milliseconds(2400), false, false, false }));
    CHECK_TRUE(early.begins(StartView { milliseconds(2500), false, false, false }));
    CHECK_FALSE(late.begins(StartView { milliseconds(4400), false, false, false }));
    CHECK_TRUE(late.begins(StartView { milliseconds(4500), false, false, false }));
}
