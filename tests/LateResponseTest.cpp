#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// Copies of responses that an upstream sends late, on a connection that carries another request by then.
TEST_GROUP(LateResponse)
{
    GatewayFixture gateway;

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    // Returns a refusal with the upstream's statement that the request was not run.
    static std::string notRun() { return "HTTP/1.1 503 X\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"; }
};

TEST(LateResponse, RequestIsSentAgainToTheSameUpstreamOnlyOnANewConnection)
{
    // A second copy of the refusal would bear the attempt id of the request that is sent again and would say, falsely,
    // that it was not run.
    ScriptedUpstream upstream({ { notRun() }, { GatewayFixture::streamHead() + GatewayFixture::event(1) + "0\r\n\r\n" } });
    ScriptedUpstream backup({});
    ScriptedUpstream otherBackup({});
    gateway.addUpstream("e1", "engines", upstream);
    gateway.addUpstream("e2", "engines", backup, "dc-b");
    gateway.addUpstream("e3", "engines", otherBackup, "dc-c");
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n"));
    CHECK_TRUE(contains(response, "data: e1\n\n"));
    LONGS_EQUAL(2, upstream.requests().size());
    LONGS_EQUAL(2, upstream.acceptedConnections());
}

TEST(LateResponse, ConnectionThatBroughtALateResponseIsNotUsedAgain)
{
    auto late = GatewayFixture::ok("late");
    late.replace(late.find("$ID"), 3, "zz");
    ScriptedUpstream upstream({ { late + GatewayFixture::ok("one") }, { GatewayFixture::ok("two") } });
    gateway.addUpstream("d1", "desk", upstream);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\none"));
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\ntwo"));
    LONGS_EQUAL(2, upstream.acceptedConnections());
}

TEST(LateResponse, ResponseWithoutAnAttemptIdIsNotTrustedOnAReusedConnection)
{
    const std::string anonymousOk = "HTTP/1.1 200 OK\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 5\r\n\r\nother";
    const std::string anonymousRefusal = "HTTP/1.1 503 X\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    for (const auto& late : { anonymousOk, anonymousRefusal }) {
        GatewayFixture fresh;
        ScriptedUpstream upstream({ { GatewayFixture::ok("one") }, { late } });
        fresh.addUpstream("d1", "desk", upstream);
        CHECK_TRUE(contains(fresh.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\none"));
        // The request may have run, and the response is not known to be its own.
        CHECK_TRUE(contains(fresh.exchange(GatewayFixture::post("/book/x", "b")), "HTTP/1.1 502 "));
        LONGS_EQUAL(1, upstream.acceptedConnections());
    }
}

TEST(LateResponse, BodyAfterAResponseThatHasNoneIsNotUsedForTheNextRequest)
{
    const std::string noContent = "HTTP/1.1 204 X\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nKeep-Alive: timeout=10\r\n\r\n";
    const std::string notModified = "HTTP/1.1 304 X\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nKeep-Alive: timeout=10\r\nContent-Length: 60\r\n\r\n";
    for (const auto& head : { noContent, notModified }) {
        GatewayFixture fresh;
        ScriptedUpstream upstream({ { head + GatewayFixture::ok("stray") }, { GatewayFixture::ok("two") } });
        fresh.addUpstream("d1", "desk", upstream);
        CHECK_FALSE(contains(fresh.exchange(GatewayFixture::get("/read/x")), "stray"));
        auto second = fresh.exchange(GatewayFixture::get("/read/x"));
        CHECK_TRUE_TEXT(contains(second, "\r\n\r\ntwo") && !contains(second, "stray"), second.c_str());
        LONGS_EQUAL(2, upstream.acceptedConnections());
    }
}

namespace {

// Takes the place of a session, which owns a connection while it is in use.
struct ConnectionOwner {
    void onUpstreamConnected(gateway::UpstreamConnection<ConnectionOwner>&) { isConnected = true; }
    void onUpstreamHeaders(gateway::UpstreamConnection<ConnectionOwner>&, const boost::beast::http::fields&, bool) { }
    void onUpstreamBody(gateway::UpstreamConnection<ConnectionOwner>&, std::string_view) { }
    void onUpstreamComplete(gateway::UpstreamConnection<ConnectionOwner>&) { }
    void onUpstreamFailure(gateway::UpstreamConnection<ConnectionOwner>&, gateway::ConnectionFailure) { }

    bool isConnected = false;
};

} // namespace

TEST(LateResponse, ByteThatIsNotReadYetPreventsTheReuseOfItsConnection)
{
    auto listener = gateway::listenOn({ "127.0.0.1", 0 });
    sockaddr_in address {};
    socklen_t length = sizeof address;
    getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
    fleet::UpstreamInstance instance { { "d1" }, { "desk" }, "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), { "dc-a" }, 1, 6, false };
    gateway::EventLoop loop;
    gateway::ConnectionPool<ConnectionOwner> pool;
    ConnectionOwner owner;
    auto now = base::BootClock {}.now();
    for (bool sendsByte : { false, true }) {
        auto connection = std::make_unique<gateway::UpstreamConnection<ConnectionOwner>>(loop, instance);
        connection->setOwner(&owner);
        owner.isConnected = false;
        CHECK_TRUE(connection->connect(now) == gateway::ConnectStart::Started);
        base::FileDescriptor peer(accept(listener.descriptor(), nullptr, nullptr));
        for (int i = 0; i < 100 && !owner.isConnected; ++i)
            loop.runOnce(std::chrono::milliseconds(10));
        connection->markIdle(now, std::chrono::seconds(10));
        pool.release(std::move(connection));
        if (sendsByte)
            send(peer.descriptor(), "H", 1, MSG_NOSIGNAL);
        poll(nullptr, 0, 20);
        auto acquired = pool.acquire(instance, now);
        CHECK_EQUAL(!sendsByte, acquired != nullptr);
    }
}
