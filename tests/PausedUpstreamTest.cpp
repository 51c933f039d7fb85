// The upstream, or the path to it, takes nothing for some seconds in the middle of a request and then goes on.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"

#include <CppUTest/TestHarness.h>
#include <netinet/tcp.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(PausedUpstream)
{
    // More than the receive buffer of the upstream holds.
    static constexpr size_t bodyBytes = 3 * 1024 * 1024;

    GatewayFixture gateway;
    fakes::ManualUpstream upstream;

    // Lets the upstream receive the head of a request and no more. Returns the client's connection.
    base::FileDescriptor beginRequest(size_t bytes, const std::string& timeoutMs)
    {
        gateway.addUpstream("e1", "engines", upstream.address());
        auto request = GatewayFixture::post("/stream/x", std::string(bytes, 'b'), "Redwingseam-Token-Usage: 100,10\r\n");
        request.replace(request.find("2500"), 4, timeoutMs);
        auto client = gateway.connectClient();
        GatewayFixture::write(client, request);
        CHECK_FALSE(upstream.acceptRequest().empty());
        return client;
    }

    // Returns the limit of the gateway's connection to the upstream, in milliseconds.
    int acknowledgementTimeout() const
    {
        static constexpr int maxDescriptor = 1024;
        for (int descriptor = 0; descriptor < maxDescriptor; ++descriptor) {
            sockaddr_in peer {};
            socklen_t length = sizeof peer;
            bool isPeerKnown = !getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) && peer.sin_family == AF_INET;
            if (!isPeerKnown || "127.0.0.1:" + std::to_string(ntohs(peer.sin_port)) != upstream.address())
                continue;
            int millis = 0;
            length = sizeof millis;
            getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, &length);
            return millis;
        }
        return -1;
    }

    void checkServedAfterPause(int pauseMs)
    {
        auto client = beginRequest(bodyBytes, "20000");
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

TEST(PausedUpstream, RequestDoesNotArriveAfterItsDeadline)
{
    // The kernel takes all of it at once, and the upstream receives a part.
    static constexpr size_t bytes = 1024 * 1024;
    auto client = beginRequest(bytes, "1500");
    CHECK_FALSE(GatewayFixture::read(client).empty());
    CHECK_TRUE(upstream.readRest() < bytes / 2);
}

TEST(PausedUpstream, RequestDoesNotArriveAfterItsClientHasGone)
{
    static constexpr size_t bytes = 1024 * 1024;
    auto client = beginRequest(bytes, "20000");
    client = {};
    for (int i = 0; i < 100 && gateway.state.openClients; ++i)
        poll(nullptr, 0, 10);
    CHECK_TRUE(upstream.readRest() < bytes / 2);
}

// The bytes of a connection may be lost for good, while the upstream accepts others.
TEST(PausedUpstream, DeadConnectionIsNotAwaitedUntilTheDeadline)
{
    auto client = beginRequest(1, "20000");
    poll(nullptr, 0, 50);
    // The loopback acknowledges each byte, so only the limit can be seen.
    static constexpr int maxMillis = 4000;
    auto limit = acknowledgementTimeout();
    CHECK_TRUE(limit > 0 && limit <= maxMillis);
}
