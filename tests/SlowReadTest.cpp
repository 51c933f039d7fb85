// An idempotent request is silent past its share of the objective, and its upstream answers long before the deadline.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"
#include "fakes/RefusingUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(SlowRead)
{
    // Past the objective of the route, 400 ms, and well before its timeout, 1200 ms.
    static constexpr int responseAfterMs = 600;

    GatewayFixture gateway;
    fakes::ManualUpstream upstream;
    fakes::RefusingUpstream crashed;

    base::FileDescriptor beginRequest()
    {
        gateway.addUpstream("d1", "desk", upstream.address());
        auto client = gateway.connectClient();
        GatewayFixture::write(client, GatewayFixture::get("/read/x"));
        CHECK_FALSE(upstream.acceptRequest().empty());
        return client;
    }

    void checkServed(const base::FileDescriptor& client)
    {
        poll(nullptr, 0, responseAfterMs);
        upstream.respond(GatewayFixture::ok("late"));
        auto response = GatewayFixture::read(client, "late");
        CHECK_TRUE_TEXT(response.find("200 OK") != std::string::npos, response.substr(0, 300).c_str());
    }
};

TEST(SlowRead, ResponseIsDeliveredWhenThereIsNoOtherUpstream)
{
    checkServed(beginRequest());
}

TEST(SlowRead, ResponseIsDeliveredWhenNoOtherUpstreamIsReached)
{
    auto client = beginRequest();
    gateway.addUpstream("d2", "desk", crashed.address());
    checkServed(client);
}
