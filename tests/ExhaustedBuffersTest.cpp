// The bodies of other requests fill this node's buffers for a moment. That is no fault of an upstream that sends meanwhile.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(ExhaustedBuffers)
{
    GatewayFixture gateway;
    fakes::ManualUpstream upstream;
    size_t taken = 0;

    base::FileDescriptor beginRequest(const std::string& service, const std::string& request)
    {
        gateway.addUpstream("u1", service, upstream.address());
        auto client = gateway.connectClient();
        GatewayFixture::write(client, request);
        CHECK_FALSE(upstream.acceptRequest().empty());
        return client;
    }

    void takeBuffers()
    {
        taken = gateway.state.buffers.limitBytes() - gateway.state.buffers.usedBytes();
        CHECK_TRUE(gateway.state.buffers.tryReserve(taken));
    }

    // Frees the buffers after a moment.
    void freeBuffers()
    {
        poll(nullptr, 0, 50);
        gateway.state.buffers.release(taken);
        poll(nullptr, 0, 50);
    }
};

TEST(ExhaustedBuffers, StreamInTheMiddleOfAnEventGoesOn)
{
    auto client = beginRequest("engines", GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 8000,650\r\n"));
    upstream.respond(GatewayFixture::streamHead() + GatewayFixture::event(1));
    auto begun = GatewayFixture::read(client, "data: e1");
    CHECK_TRUE_TEXT(begun.find("data: e1") != std::string::npos, begun.c_str());
    takeBuffers();
    upstream.respond("d\r\nid: 2\ndata: e\r\n");
    freeBuffers();
    upstream.respond("3\r\n2\n\n\r\n0\r\n\r\n");
    auto rest = GatewayFixture::read(client, "\r\n0\r\n\r\n");
    CHECK_TRUE_TEXT(rest.find("data: e2") != std::string::npos, rest.c_str());
}

TEST(ExhaustedBuffers, ResponseOfARequestThatMayNotBeRepeatedIsDelivered)
{
    auto client = beginRequest("desk", GatewayFixture::post("/book/x", "b"));
    auto response = GatewayFixture::ok("booked");
    takeBuffers();
    upstream.respond(response.substr(0, response.size() - 3));
    freeBuffers();
    upstream.respond(response.substr(response.size() - 3));
    auto received = GatewayFixture::read(client, "booked");
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 200 "), received.c_str());
}
