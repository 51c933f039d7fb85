#include "fakes/RecordingClientServer.h"

#include <CppUTest/TestHarness.h>
#include <poll.h>
#include <sys/socket.h>

using namespace redwingseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One client connection whose event loop and clock the test moves.
TEST_GROUP(ClientConnection)
{
    gateway::EventLoop loop;
    fakes::RecordingClientServer server;
    base::FileDescriptor client;
    std::unique_ptr<fakes::RecordingClientServer::Connection> connection;
    base::Instant start = base::BootClock {}.now();

    void setup() override { connect(); }
    void teardown() override { connection.reset(); }

    void connect()
    {
        int sockets[2];
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets);
        client = base::FileDescriptor(sockets[0]);
        connection = std::make_unique<fakes::RecordingClientServer::Connection>(loop, server, base::FileDescriptor(sockets[1]), start);
    }

    void write(const std::string& bytes)
    {
        send(client.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        loop.runOnce(milliseconds(100));
    }

    // Returns what the client has received, and "<closed>" after the end of the input.
    std::string received() const
    {
        char buffer[4096];
        std::string text;
        while (true) {
            auto count = recv(client.descriptor(), buffer, sizeof buffer, 0);
            if (count < 0)
                return text;
            if (!count)
                return text + "<closed>";
            text.append(buffer, static_cast<size_t>(count));
        }
    }
};

TEST(ClientConnection, BodyThatStopsArrivingIsAnsweredWithATimeout)
{
    write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    connection->tick(base::BootClock {}.now() + server.limits.idleTimeout + seconds(1));
    auto response = received();
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 408 "), response.c_str());
    LONGS_EQUAL(1, server.rejections.size());
    LONGS_EQUAL(0, server.budget.usedBytes());
}

TEST(ClientConnection, BodyThatKeepsArrivingIsNotCutOff)
{
    server.limits.idleTimeout = milliseconds(200);
    connect();
    write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n");
    for (const char* byte : { "a", "b", "c", "d", "e", "f" }) {
        poll(nullptr, 0, 60);
        write(byte);
        connection->tick(base::BootClock {}.now());
    }
    LONGS_EQUAL(0, server.disconnects);
    LONGS_EQUAL(0, server.rejections.size());
    LONGS_EQUAL(1, server.requests.size());
}

TEST(ClientConnection, LastResponseIsNotCutOffWhileTheClientKeepsReadingIt)
{
    server.limits.idleTimeout = seconds(3);
    connect();
    write("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    LONGS_EQUAL(1, server.requests.size());
    connection->write(std::string(2 * 1024 * 1024, 'r'));
    // The response was complete almost as long ago as the connection may wait for a client that reads nothing.
    connection->finishResponse(false, base::BootClock {}.now() - milliseconds(2900));
    CHECK_TRUE(connection->pendingBytes() > 0);
    received();
    loop.runOnce(milliseconds(100));
    CHECK_TRUE(connection->pendingBytes() > 0);
    connection->tick(base::BootClock {}.now() + milliseconds(300));
    CHECK_TRUE(connection->isOpen());
    // A client that reads nothing more does not hold the connection.
    connection->tick(base::BootClock {}.now() + seconds(4));
    CHECK_FALSE(connection->isOpen());
    LONGS_EQUAL(1, server.disconnects);
}

TEST(ClientConnection, InputAfterTheLastResponseIsBounded)
{
    write("no request\r\n\r\n");
    LONGS_EQUAL(1, server.rejections.size());
    CHECK_TRUE(received().ends_with("<closed>"));
    const std::string block(32 * 1024, 'x');
    unsigned blocks = 0;
    while (connection->isOpen() && blocks < 2000) {
        write(block);
        ++blocks;
    }
    // 16 MB.
    CHECK_TRUE(blocks > 400 && blocks < 600);
    LONGS_EQUAL(1, server.disconnects);
}

TEST(ClientConnection, ClientThatNeitherSendsNorClosesAfterTheLastResponseIsDisconnected)
{
    write("no request\r\n\r\n");
    connection->tick(base::BootClock {}.now() + milliseconds(500));
    CHECK_TRUE(connection->isOpen());
    connection->tick(base::BootClock {}.now() + milliseconds(1300));
    CHECK_FALSE(connection->isOpen());
    LONGS_EQUAL(1, server.disconnects);
}

TEST(ClientConnection, RequestThatArrivedBeforeTheIdleCloseIsRead)
{
    std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    send(client.descriptor(), request.data(), request.size(), MSG_NOSIGNAL);
    connection->tick(start + server.limits.idleTimeout + seconds(1));
    CHECK_TRUE(connection->isOpen());
    loop.runOnce(milliseconds(100));
    LONGS_EQUAL(1, server.requests.size());
}
