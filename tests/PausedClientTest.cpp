// The client, or the path to it, takes nothing for some seconds in the middle of its stream and then goes on.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(PausedClient)
{
    static constexpr unsigned eventCount = 40;

    GatewayFixture gateway;
    fakes::ManualUpstream upstream;

    // Returns one event of over a kilobyte as an HTTP chunk.
    static std::string largeEvent(unsigned id)
    {
        auto text = "id: " + std::to_string(id) + "\ndata: " + std::string(1024, 'e') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }

    // Opens a client connection that accepts only a few bytes before the client reads them.
    base::FileDescriptor connectSmallClient()
    {
        base::FileDescriptor client(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        int bytes = 4096;
        setsockopt(client.descriptor(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        auto address = gateway.address();
        connect(client.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        return client;
    }

    // Lets a client begin a stream of which it reads nothing.
    base::FileDescriptor beginStream(const std::string& timeoutMs)
    {
        gateway.addUpstream("e1", "engines", upstream.address());
        auto request = GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n");
        request.replace(request.find("2500"), 4, timeoutMs);
        auto client = connectSmallClient();
        GatewayFixture::write(client, request);
        CHECK_FALSE(upstream.acceptRequest().empty());
        upstream.respond(GatewayFixture::streamHead());
        for (unsigned id = 1; id <= eventCount; ++id)
            upstream.respond(largeEvent(id));
        return client;
    }
};

TEST(PausedClient, StreamIsNotCutOffWhileItsDeadlineIsFar)
{
    auto client = beginStream("20000");
    static constexpr int pauseMs = 6000;
    poll(nullptr, 0, pauseMs);
    upstream.respond(largeEvent(eventCount + 1) + "0\r\n\r\n");
    auto response = GatewayFixture::read(client);
    CHECK_TRUE_TEXT(response.ends_with("\r\n0\r\n\r\n"), response.substr(response.size() - std::min<size_t>(response.size(), 80)).c_str());
    CHECK_TRUE(response.find("id: 41\n") != std::string::npos);
}

TEST(PausedClient, ConnectionIsClosedAtTheDeadlineIfTheClientDoesNotGoOn)
{
    auto client = beginStream("2500");
    CHECK_TRUE(gateway.state.openClients > 0);
    for (int i = 0; i < 300 && gateway.state.openClients; ++i)
        poll(nullptr, 0, 10);
    LONGS_EQUAL(0, gateway.state.openClients);
    LONGS_EQUAL(0, gateway.state.activeSessions);
}
