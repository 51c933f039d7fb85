#include "fakes/TricklingStore.h"
#include "http/TransferTimeout.h"
#include "platform/StoreApi.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using std::chrono::milliseconds;

TEST_GROUP(SlowStore) {};

// A manifest that arrives slowly must not be thrown away and begun again for ever.
TEST(SlowStore, ManifestThatTakesLongerThanTheTimeoutIsReadInTheEnd)
{
    auto text = R"({"metadata":{"name":"main"},"spec":{"version":7,"routes":[],"padding":")" + std::string(20'000, 'x') + "\"}}";
    fakes::TricklingStore store(text, 8, 60);
    platform::StoreApi api(http::parseSocketAddress(store.address()).value(), milliseconds(150));
    CHECK_FALSE(bool(api.readManifest()));
    uint64_t version = 0;
    for (int i = 0; i < 6 && !version; ++i) {
        if (auto read = api.readManifest())
            version = read.value().version;
    }
    LONGS_EQUAL(7, version);
}

TEST(SlowStore, TimeoutReturnsToItsInitialValueOnceResponsesAreFast)
{
    http::TransferTimeout timeout(milliseconds(1200));
    timeout.recordPartialResponse();
    CHECK_TRUE(timeout.current() == milliseconds(2400));
    timeout.recordResponse(milliseconds(2000));
    CHECK_TRUE(timeout.current() == milliseconds(2400));
    timeout.recordResponse(milliseconds(100));
    CHECK_TRUE(timeout.current() == milliseconds(1200));
}
