#include "fakes/RecordingClientServer.h"

#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <sys/socket.h>

using namespace redwingseam;
using std::chrono::milliseconds;

TEST_GROUP(SlowClient)
{
    gateway::EventLoop loop;
    fakes::RecordingClientServer server;
    base::FileDescriptor client;
    std::unique_ptr<fakes::RecordingClientServer::Connection> connection;

    void setup() override
    {
        server.limits.idleTimeout = milliseconds(200);
        int sockets[2];
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets);
        client = base::FileDescriptor(sockets[0]);
        connection = std::make_unique<fakes::RecordingClientServer::Connection>(loop, server, base::FileDescriptor(sockets[1]), base::BootClock {}.now());
    }
    void teardown() override { connection.reset(); }

    void write(const std::string& bytes)
    {
        send(client.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        loop.runOnce(milliseconds(100));
    }

    size_t receive() const
    {
        size_t total = 0;
        char buffer[4096];
        for (ssize_t count = 0; (count = recv(client.descriptor(), buffer, sizeof buffer, 0)) > 0;)
            total += static_cast<size_t>(count);
        return total;
    }
};

TEST(SlowClient, ResponseOnAKeptConnectionIsNotCutOffWhileTheClientKeepsReadingIt)
{
    static constexpr size_t size = 4 * 1024 * 1024;
    write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    LONGS_EQUAL(1, server.requests.size());
    connection->write(std::string(size, 'r'));
    connection->finishResponse(true, base::BootClock {}.now());
    size_t received = 0;
    for (int round = 0; round < 8 && received < size; ++round) {
        CHECK_TRUE(connection->pendingBytes() > 0);
        poll(nullptr, 0, 60);
        received += receive();
        loop.runOnce(milliseconds(100));
        connection->tick(base::BootClock {}.now());
        CHECK_TRUE(connection->isOpen());
    }
}

TEST(SlowClient, BodyThatWaitedBehindAnotherResponseIsRead)
{
    write("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'b'));
    LONGS_EQUAL(1, server.requests.size());
    poll(nullptr, 0, 300);
    connection->finishResponse(true, base::BootClock {}.now());
    connection->tick(base::BootClock {}.now());
    LONGS_EQUAL(0, server.rejections.size());
    for (int i = 0; i < 20 && server.requests.size() < 2; ++i)
        loop.runOnce(milliseconds(100));
    LONGS_EQUAL(2, server.requests.size());
}
