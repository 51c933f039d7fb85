// A silent attempt that is kept beside its replacement ends without anything for the client.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(KeptEnd)
{
    GatewayFixture gateway;
    fakes::ManualUpstream silent;
    fakes::ManualUpstream other;
    base::FileDescriptor client;

    // Begins a stream at the upstream that falls silent then, and lets the other one receive it too.
    void replaceSilentAttempt(bool hasBegun)
    {
        gateway.addUpstream("e1", "engines", silent.address());
        client = gateway.connectClient();
        GatewayFixture::write(client, GatewayFixture::get("/stream/x"));
        CHECK_FALSE(silent.acceptRequest().empty());
        if (hasBegun) {
            silent.respond(GatewayFixture::streamHead() + GatewayFixture::event(1));
            GatewayFixture::read(client, "data: e1\n\n\r\n");
        }
        gateway.addUpstream("e2", "engines", other.address(), "dc-b");
        silent.stopListening();
        CHECK_FALSE(other.acceptRequest().empty());
    }

    void checkReplacementGoesOn()
    {
        CHECK_FALSE(other.isClosedWithin(std::chrono::milliseconds(100)));
        other.respond(GatewayFixture::streamHead() + GatewayFixture::event(2) + "0\r\n\r\n");
        auto response = GatewayFixture::read(client);
        CHECK_TRUE_TEXT(response.find("data: e2") != std::string::npos, response.substr(0, 300).c_str());
    }
};

TEST(KeptEnd, ReplacementOutlivesTheRefusalOfTheSilentUpstream)
{
    replaceSilentAttempt(false);
    silent.respond("HTTP/1.1 503 Service Unavailable\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    checkReplacementGoesOn();
}

TEST(KeptEnd, ReplacementOutlivesTheCutEventOfTheSilentUpstream)
{
    replaceSilentAttempt(true);
    silent.respond("6\r\nid: 2\n\r\n0\r\n\r\n");
    checkReplacementGoesOn();
}
