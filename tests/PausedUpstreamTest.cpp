// The upstream, or the path to it, takes nothing for some seconds in the middle of a request and then goes on.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(PausedUpstream)
{
    // More than the receive buffer of the upstream holds.
    static constexpr size_t bodyBytes = 3 * 1024 * 1024;

    GatewayFixture gateway;
    fakes::ManualUpstream upstream;

    void checkServedAfterPause(int pauseMs)
    {
        gateway.addUpstream("e1", "engines", upstream.address());
        auto request = GatewayFixture::post("/stream/x", std::string(bodyBytes, 'b'), "Redwingseam-Token-Usage: 100,10\r\n");
        request.replace(request.find("2500"), 4, "20000");
        auto client = gateway.connectClient();
        GatewayFixture::write(client, request);
        CHECK_FALSE(upstream.acceptRequest().empty());
        poll(nullptr, 0, pauseMs);
        upstream.respond(GatewayFixture::streamHead() + GatewayFixture::event(1) + "0\r\n\r\n");
        auto response = GatewayFixture::read(client);
        CHECK_TRUE_TEXT(response.find("id: 1\n") != std::string::npos, response.substr(0, 300).c_str());
    }
};

TEST(PausedUpstream, RequestOutlivesAShortPause)
{
    checkServedAfterPause(1000);
}

TEST(PausedUpstream, RequestIsNotGivenUpWhileItsDeadlineIsFar)
{
    checkServedAfterPause(6000);
}
