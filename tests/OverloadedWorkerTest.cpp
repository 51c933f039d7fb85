#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

namespace {

// Holds the worker thread for a while for each marked request, as a machine without processor time does.
struct SlowCodec : platform::PlatformHeaderCodec {
    static gateway::RequestMetadata readRequest(const boost::beast::http::fields& headers)
    {
        if (headers.count("X-Slow"))
            poll(nullptr, 0, 420);
        return platform::PlatformHeaderCodec::readRequest(headers);
    }
};

} // namespace

TEST_GROUP(OverloadedWorker) {};

TEST(OverloadedWorker, DeadlineHoldsThoughEveryTickIsLate)
{
    fakes::BasicGatewayFixture<SlowCodec> gateway;
    ScriptedUpstream silent({});
    gateway.addUpstream("d1", "desk", silent);
    auto client = gateway.connectClient();
    // The timeout of the route is 1200 ms.
    GatewayFixture::write(client, GatewayFixture::post("/book/x", "b"));
    auto load = gateway.connectClient();
    auto request = GatewayFixture::get("/none/x", "X-Slow: 1\r\n");
    request.erase(request.find("Connection: close\r\n"), 19);
    for (int i = 0; i < 8; ++i) {
        GatewayFixture::write(load, request);
        GatewayFixture::read(load, "}");
    }
    // Nothing may have to wait for the end of the load.
    auto response = GatewayFixture::read(client, "\r\n\r\n", 0);
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 504 "), response.c_str());
}
