// A response is complete at the node, and the path to the client takes nothing for some seconds.

#include "fakes/RecordingClientServer.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

using namespace redwingseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StalledResponse)
{
    static constexpr size_t responseBytes = 4 * 1024 * 1024;

    gateway::EventLoop loop;
    fakes::RecordingClientServer server;
    base::FileDescriptor client;
    std::unique_ptr<fakes::RecordingClientServer::Connection> connection;

    void setup() override
    {
        server.limits.idleTimeout = seconds(15);
        int sockets[2];
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets);
        client = base::FileDescriptor(sockets[0]);
        connection = std::make_unique<fakes::RecordingClientServer::Connection>(loop, server, base::FileDescriptor(sockets[1]), base::BootClock {}.now());
    }
    void teardown() override { connection.reset(); }

    // Completes a response of which the client reads nothing for the time.
    void stallResponse(bool keepsAlive, seconds stall = seconds(5))
    {
        static constexpr std::string_view request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        send(client.descriptor(), request.data(), request.size(), MSG_NOSIGNAL);
        loop.runOnce(milliseconds(100));
        LONGS_EQUAL(1, server.requests.size());
        connection->write(std::string(responseBytes, 'r'));
        auto now = base::BootClock {}.now();
        connection->finishResponse(keepsAlive, now);
        CHECK_TRUE(connection->pendingBytes() > 0);
        connection->tick(now + stall);
    }
};

TEST(StalledResponse, ResponseOnAKeptConnectionIsNotCutOff)
{
    stallResponse(true);
    CHECK_TRUE(connection->isOpen());
}

TEST(StalledResponse, LastResponseIsNotCutOff)
{
    stallResponse(false);
    CHECK_TRUE(connection->isOpen());
}

TEST(StalledResponse, LastResponseEndsWithTheIdleTimeoutIfTheClientIsGone)
{
    stallResponse(false, seconds(16));
    CHECK_FALSE(connection->isOpen());
}
