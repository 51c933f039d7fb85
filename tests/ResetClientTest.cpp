#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(ResetClient)
{
    GatewayFixture gateway;
    fakes::ManualUpstream upstream;
    std::vector<base::FileDescriptor> others;

    // Keeps the worker busy for some milliseconds.
    void sendOtherRequests()
    {
        auto request = GatewayFixture::get("/unknown");
        request.erase(request.find("Connection: close\r\n"), 19);
        std::string batch;
        for (int i = 0; i < 60; ++i)
            batch += request;
        char buffer[65536];
        for (const auto& other : others) {
            while (recv(other.descriptor(), buffer, sizeof buffer, MSG_DONTWAIT) > 0) { }
            GatewayFixture::write(other, batch);
        }
    }
};

// The reset and the response are handled in one batch of events.
TEST(ResetClient, ResponseToAClientThatResetItsConnectionIsDropped)
{
    gateway.addUpstream("d1", "desk", upstream.address());
    for (int i = 0; i < 20; ++i)
        others.push_back(gateway.connectClient());
    for (int round = 0; round < 100; ++round) {
        auto client = gateway.connectClient();
        GatewayFixture::write(client, GatewayFixture::get("/read/x"));
        upstream.acceptRequest();
        sendOtherRequests();
        upstream.respond(GatewayFixture::ok("ok", "Connection: close\r\n"));
        linger reset { 1, 0 };
        setsockopt(client.descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        client = {};
        poll(nullptr, 0, 20);
    }
    for (int i = 0; i < 300 && gateway.state.activeSessions; ++i)
        poll(nullptr, 0, 10);
    LONGS_EQUAL(0, gateway.state.activeSessions);
}
