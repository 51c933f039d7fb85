#include "PropertyCheck.h"
#include "fakes/ExchangeRun.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

// Whatever happens around a request, it ends with exactly one final step, no later than one tick after its deadline.
TEST_GROUP(ExchangeEnds) {};

static void checkEnds(const std::vector<uint32_t>& words)
{
    fakes::ExchangeRun run;
    for (auto word : words)
        run.apply(word);
    run.finish();
    RC_ASSERT(run.finalSteps() == run.begun());
    RC_ASSERT(run.latestEnd() <= fakes::ExchangeRun::tickInterval);
    RC_ASSERT(run.fixture.totalLoad() == fleet::UpstreamLoad {});
    RC_ASSERT(run.areQueuesEmpty());
}

TEST(ExchangeEnds, OnceAndInTimeHoweverUpstreamsAndManifestChange)
{
    CHECK_PROPERTY("losses, refusals, silence, queue room and changes of the lists in any order", [] {
        checkEnds(*rc::gen::container<std::vector<uint32_t>>(400, rc::gen::arbitrary<uint32_t>()));
    });
}

TEST(ExchangeEnds, OnceAndInTimeWhenEverythingIsSilent)
{
    fakes::ExchangeRun run;
    for (uint32_t i = 0; i < 12; ++i)
        run.apply(i * fakes::ExchangeRun::actionCount);
    run.finish();
    LONGS_EQUAL(12, run.begun());
    LONGS_EQUAL(run.begun(), run.finalSteps());
    CHECK_TRUE(run.latestEnd() <= fakes::ExchangeRun::tickInterval);
}
