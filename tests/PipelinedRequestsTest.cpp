#include "fakes/AnsweringClientServer.h"
#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Clients that send requests before they have received the responses to earlier ones.
TEST_GROUP(PipelinedRequests)
{
    fakes::GatewayFixture gateway;

    static std::string repeat(const std::string& text, size_t count)
    {
        std::string result;
        for (size_t i = 0; i < count; ++i)
            result += text;
        return result;
    }

    static size_t countOf(const std::string& text, const std::string& part)
    {
        size_t count = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
            ++count;
        return count;
    }

    // Sends the requests and one that closes the connection. Returns all that is received.
    std::string exchangeMany(const std::string& request, size_t count)
    {
        auto client = gateway.connectClient();
        fakes::GatewayFixture::write(client, repeat(request, count) + "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return fakes::GatewayFixture::read(client, "<never>");
    }
};

// Each answer by the gateway itself used to call the parser for the next request, until the stack was used up.
TEST(PipelinedRequests, RequestsThatTheGatewayAnswersItselfDoNotUseUpTheStack)
{
    auto received = exchangeMany("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", 3000);
    LONGS_EQUAL(3001, countOf(received, "HTTP/1.1 404 "));
    CHECK_TRUE(received.ends_with("<closed>"));
}

// Each connect that failed at once used to call for the next attempt, until the stack was used up.
TEST(PipelinedRequests, UpstreamsThatCannotBeConnectedAtOnceDoNotUseUpTheStack)
{
    std::vector<fleet::UpstreamInstance> instances;
    for (unsigned i = 0; i < 5300; ++i)
        instances.push_back({ { "u" + std::to_string(i) }, { "desk" }, "no address", { "dc-a" }, 1, 6, false });
    gateway.state.fleet.update(instances, base::BootClock {}.now(), {});
    auto client = gateway.connectClient();
    fakes::GatewayFixture::write(client, fakes::GatewayFixture::get("/book/1"));
    // Meanwhile other clients are served.
    auto other = gateway.connectClient();
    fakes::GatewayFixture::write(other, fakes::GatewayFixture::get("/none/x"));
    auto start = base::BootClock {}.now();
    CHECK_TRUE(fakes::GatewayFixture::read(other, "<never>").starts_with("HTTP/1.1 404 "));
    CHECK_TRUE(base::BootClock {}.now() - start < milliseconds(500));
    auto received = fakes::GatewayFixture::read(client, "<never>");
    // The deadline of the request may come before the last upstream.
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 503 ") || received.starts_with("HTTP/1.1 504 "), received.c_str());
    CHECK_TRUE(received.ends_with("<closed>"));
}

// One event loop and connections of it whose requests are answered at once.
TEST_GROUP(PipelinedRequestsTurn)
{
    gateway::EventLoop loop;
    fakes::AnsweringClientServer server;
    base::FileDescriptor client;
    std::unique_ptr<fakes::AnsweringClientServer::Connection> connection;

    void setup() override
    {
        int sockets[2];
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets);
        client = base::FileDescriptor(sockets[0]);
        connection = std::make_unique<fakes::AnsweringClientServer::Connection>(loop, server, base::FileDescriptor(sockets[1]), base::BootClock {}.now());
    }
    void teardown() override { connection.reset(); }

    void send(size_t count) const
    {
        std::string bytes;
        for (size_t i = 0; i < count; ++i)
            bytes += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        ::send(client.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
};

// Other connections of the loop used to wait until all requests in the buffer were answered.
TEST(PipelinedRequestsTurn, AnswersOneRequestInEachTurnOfTheLoop)
{
    send(500);
    loop.runOnce(seconds(1));
    LONGS_EQUAL(1, server.served);
    auto start = base::BootClock {}.now();
    for (unsigned turn = 1; turn < 500; ++turn)
        loop.runOnce(seconds(10));
    LONGS_EQUAL(500, server.served);
    CHECK_TRUE(base::BootClock {}.now() - start < seconds(5));
    // Nothing is left to do, so the loop waits.
    start = base::BootClock {}.now();
    loop.runOnce(milliseconds(60));
    CHECK_TRUE(base::BootClock {}.now() - start >= milliseconds(50));
}

// A stop or the idle timeout used to see a request in every buffer.
TEST(PipelinedRequestsTurn, RequestThatWaitsForTheNextTurnIsNotCutOff)
{
    send(2);
    loop.runOnce(seconds(1));
    LONGS_EQUAL(1, server.served);
    CHECK_FALSE(connection->isIdle());
    connection->tick(base::BootClock {}.now() + server.limits.idleTimeout + seconds(1));
    CHECK_TRUE(connection->isOpen());
    loop.runOnce(seconds(1));
    LONGS_EQUAL(2, server.served);
    CHECK_TRUE(connection->isIdle());
}

TEST(PipelinedRequestsTurn, ConnectionThatClosesBeforeTheNextTurnIsNotCalledAgain)
{
    send(2);
    loop.runOnce(seconds(1));
    connection->disconnect();
    connection.reset();
    loop.runOnce(milliseconds(1));
    LONGS_EQUAL(1, server.served);
}

// The responses used to be buffered without bound.
TEST(PipelinedRequestsTurn, ResponsesThatTheClientDoesNotReadAreBounded)
{
    server.body = std::string(2000, 'r');
    send(2000);
    for (unsigned turn = 0; turn < 2000; ++turn)
        loop.runOnce(milliseconds(0));
    CHECK_TRUE(server.served < 1000);
    CHECK_TRUE(connection->pendingBytes() < 80 * 1024);
    auto start = base::BootClock {}.now();
    loop.runOnce(milliseconds(60));
    CHECK_TRUE(base::BootClock {}.now() - start >= milliseconds(50));
    std::string buffer(64 * 1024, ' ');
    for (unsigned turn = 0; turn < 4000 && server.served < 2000; ++turn) {
        recv(client.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        loop.runOnce(milliseconds(0));
    }
    LONGS_EQUAL(2000, server.served);
}

TEST(PipelinedRequestsTurn, ClientThatReadsNoResponsesIsDisconnected)
{
    server.body = std::string(2000, 'r');
    send(2000);
    for (unsigned turn = 0; turn < 2000; ++turn)
        loop.runOnce(milliseconds(0));
    CHECK_TRUE(connection->isOpen());
    connection->tick(base::BootClock {}.now() + server.limits.idleTimeout + seconds(1));
    CHECK_FALSE(connection->isOpen());
    LONGS_EQUAL(1, server.disconnects);
}
