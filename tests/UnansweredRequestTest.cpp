#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"
#include "gateway/GracefulStop.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ManualUpstream;
using fakes::ScriptedUpstream;
using std::chrono::milliseconds;

// Requests that were read, or responses that were written, and that the client could lose nevertheless.
TEST_GROUP(UnansweredRequest)
{
    GatewayFixture gateway;

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    static std::string withKeepAlive(std::string request) { return request.erase(request.find("Connection: close\r\n"), 19); }

    static bool waitUntil(const std::function<bool()>& predicate)
    {
        for (int i = 0; i < 300 && !predicate(); ++i)
            poll(nullptr, 0, 10);
        return predicate();
    }

    // Writes all bytes to a client that reads nothing meanwhile. Returns the number of bytes written before an error.
    static size_t writeAll(const base::FileDescriptor& client, const std::string& bytes)
    {
        size_t written = 0;
        while (written < bytes.size()) {
            auto count = send(client.descriptor(), bytes.data() + written, std::min<size_t>(16384, bytes.size() - written), MSG_NOSIGNAL);
            if (count <= 0)
                break;
            written += static_cast<size_t>(count);
            poll(nullptr, 0, 1);
        }
        return written;
    }
};

TEST(UnansweredRequest, AbortedStreamLeavesNoOpenClientBehind)
{
    ScriptedUpstream only({ { GatewayFixture::streamHead() + GatewayFixture::event(1), true } });
    gateway.addUpstream("e1", "engines", only);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/stream/x", "b")), "<closed>"));
    CHECK_TRUE(waitUntil([&] { return !gateway.state.openClients; }));
    gateway::StopTimes times { milliseconds(3000), milliseconds(200), milliseconds(100) };
    CHECK_TRUE(gateway::GracefulStop(gateway.state, gateway.acceptor(), times).run());
}

TEST(UnansweredRequest, ConnectionThatPromisedToGoOnServesTheRequestAfterAStopBegan)
{
    ManualUpstream engine;
    ScriptedUpstream desk({ { GatewayFixture::ok("ok") } });
    gateway.addUpstream("e1", "engines", engine.address());
    gateway.addUpstream("d1", "desk", desk);
    auto client = gateway.connectClient();
    GatewayFixture::write(client, withKeepAlive(GatewayFixture::post("/stream/x", "b")));
    engine.acceptRequest();
    engine.respond(GatewayFixture::streamHead() + GatewayFixture::event(1));
    auto begun = GatewayFixture::read(client, "data: e1\n\n");
    CHECK_TRUE(contains(begun, "data: e1\n\n") && !contains(begun, "Connection: close"));
    gateway.state.drainStartedAt = base::BootClock {}.now();
    engine.respond("0\r\n\r\n");
    CHECK_TRUE(contains(GatewayFixture::read(client, "0\r\n\r\n"), "0\r\n\r\n"));
    GatewayFixture::write(client, withKeepAlive(GatewayFixture::post("/book/x", "b")));
    auto response = GatewayFixture::read(client, "\r\n\r\nok");
    CHECK_TRUE_TEXT(contains(response, "\r\n\r\nok"), response.c_str());
    CHECK_TRUE(contains(response, "Connection: close\r\n"));
}

TEST(UnansweredRequest, RejectionReachesAClientThatWritesItsWholeBodyFirst)
{
    auto client = gateway.connectClient();
    GatewayFixture::write(client, "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Key: key\r\nContent-Length: 9999999\r\n\r\n");
    std::string body(2 * 1024 * 1024, 'b');
    LONGS_EQUAL(body.size(), writeAll(client, body));
    auto response = GatewayFixture::read(client, "<never>", 1500);
    CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 413 "), response.c_str());
    CHECK_TRUE(contains(response, "<closed>"));
    CHECK_TRUE(waitUntil([&] { return !gateway.state.buffers.usedBytes(); }));
    client = {};
    CHECK_TRUE(waitUntil([&] { return !gateway.state.openClients; }));
}

TEST(UnansweredRequest, ClientThatNeverClosesARejectedConnectionDoesNotDelayAStop)
{
    auto client = gateway.connectClient();
    GatewayFixture::write(client, "no request\r\n\r\n");
    CHECK_TRUE(contains(GatewayFixture::read(client, "<never>", 1500), "HTTP/1.1 400 "));
    gateway::StopTimes times { milliseconds(8000), milliseconds(200), milliseconds(100) };
    auto began = base::BootClock {}.now();
    CHECK_TRUE(gateway::GracefulStop(gateway.state, gateway.acceptor(), times).run());
    CHECK_TRUE(base::BootClock {}.now() - began < milliseconds(4500));
    LONGS_EQUAL(0, gateway.state.openClients);
}

TEST(UnansweredRequest, ResponseWithoutEventsIsNotWrittenIntoAStreamThatHasBegun)
{
    const std::string signedHead = "Redwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 7\r\n\r\nnothing";
    for (const char* status : { "404 X", "400 X", "201 X" }) {
        GatewayFixture fresh;
        ScriptedUpstream first({ { GatewayFixture::streamHead() + GatewayFixture::event(1), true } });
        ScriptedUpstream second({ { std::string("HTTP/1.1 ") + status + "\r\n" + signedHead } });
        ScriptedUpstream third({ { GatewayFixture::streamHead() + GatewayFixture::event(2) + "0\r\n\r\n" } });
        fresh.addUpstream("e1", "engines", first);
        fresh.addUpstream("e2", "engines", second, "dc-b");
        auto client = fresh.connectClient();
        GatewayFixture::write(client, GatewayFixture::post("/stream/x", "b"));
        CHECK_TRUE(waitUntil([&] { return second.requests().size() == 1; }));
        auto response = GatewayFixture::read(client, "<never>", 1500);
        CHECK_TRUE_TEXT(contains(response, "data: e1\n\n<closed>") || contains(response, "data: e1\n\n\r\n<closed>"), response.c_str());
    }
}
