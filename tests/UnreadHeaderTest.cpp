// What the client has sent in time may be read late, since this process does not always run.

#include "fakes/RecordingClientServer.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

using namespace redwingseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(UnreadHeader)
{
    gateway::EventLoop loop;
    fakes::RecordingClientServer server;
    base::FileDescriptor client;
    std::unique_ptr<fakes::RecordingClientServer::Connection> connection;
    base::Instant start = base::BootClock {}.now();

    void setup() override
    {
        int sockets[2];
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets);
        client = base::FileDescriptor(sockets[0]);
        connection = std::make_unique<fakes::RecordingClientServer::Connection>(loop, server, base::FileDescriptor(sockets[1]), start);
    }
    void teardown() override { connection.reset(); }

    void write(const std::string& bytes) { send(client.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL); }
};

TEST(UnreadHeader, RequestWhoseRestWaitsToBeReadIsServed)
{
    write("GET /x HTTP/1.1\r\nHo");
    loop.runOnce(milliseconds(100));
    write("st: h\r\n\r\n");
    connection->tick(base::BootClock {}.now() + server.limits.headerTimeout + seconds(1));
    LONGS_EQUAL(0, server.rejections.size());
    loop.runOnce(milliseconds(100));
    LONGS_EQUAL(1, server.requests.size());
}
