#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// Status 421: another upstream has the address, and has not run the request.
TEST_GROUP(Misdirected)
{
    GatewayFixture gateway;

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    static std::string misdirected(const std::string& headers) { return "HTTP/1.1 421 Misdirected Request\r\nRedwingseam-Instance-Id: other\r\nContent-Length: 0\r\n" + headers + "\r\n"; }
};

TEST(Misdirected, StatusAloneStatesThatTheRequestWasNotRun)
{
    // Guards against a failure of requests that could be sent to another upstream.
    for (const char* headers : { "", "Redwingseam-Attempt-Id: $ID\r\n", "Redwingseam-Not-Executed: 1\r\n", "Redwingseam-Attempt-Id: $ID\r\nRedwingseam-Not-Executed: 1\r\n" }) {
        GatewayFixture fresh;
        ScriptedUpstream replaced({ { misdirected(headers) } });
        ScriptedUpstream other({ { GatewayFixture::ok("other") }, { GatewayFixture::ok("again") } });
        fresh.addUpstream("d1", "desk", replaced);
        fresh.addUpstream("d2", "desk", other, "dc-b");
        auto response = fresh.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(contains(response, "\r\n\r\nother"), (headers + response).c_str());
        // The upstream at the address is not the one that is named, so it is not asked again.
        CHECK_TRUE(contains(fresh.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\nagain"));
        LONGS_EQUAL(1, replaced.requests().size());
    }
}

TEST(Misdirected, RequestIsRefusedIfThereIsNoOtherUpstream)
{
    ScriptedUpstream replaced({ { misdirected("") } });
    gateway.addUpstream("d1", "desk", replaced);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "HTTP/1.1 503 "));
}

TEST(Misdirected, StatusWithoutAnIdIsNotTrustedOnAKeptConnection)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("one") }, { misdirected("") } });
    ScriptedUpstream other({ { GatewayFixture::ok("other") } });
    gateway.addUpstream("d1", "desk", upstream);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\none"));
    gateway.addUpstream("d2", "desk", other, "dc-b");
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "HTTP/1.1 502 "));
    LONGS_EQUAL(0, other.requests().size());
}

TEST(Misdirected, LateStatusOfAnotherRequestIsSkipped)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("one") }, { misdirected("Redwingseam-Attempt-Id: a0\r\n") + GatewayFixture::ok("two") } });
    gateway.addUpstream("d1", "desk", upstream);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\none"));
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\ntwo"));
}

// The list still names the upstream that had the address, at the version of the stream. What has the address now, at whatever
// version, is not the upstream that the request names.
TEST(Misdirected, StreamIsNotContinuedByAnotherUpstreamAtAListedAddress)
{
    ScriptedUpstream first({ { GatewayFixture::streamHead() + GatewayFixture::event(1), true } });
    gateway.addUpstream("e1", "engines", first, "dc-a", "v1");
    auto client = gateway.connectClient();
    ScriptedUpstream replaced({ { misdirected("") } });
    ScriptedUpstream other({ { GatewayFixture::streamHead() + GatewayFixture::event(2) + "0\r\n\r\n" } });
    gateway.addUpstream("e2", "engines", replaced, "dc-b", "v1");
    GatewayFixture::write(client, GatewayFixture::get("/stream/x"));
    for (int i = 0; i < 100 && replaced.requests().empty(); ++i)
        poll(nullptr, 0, 20);
    gateway.addUpstream("e3", "engines", other, "dc-c", "v1");
    auto response = GatewayFixture::read(client);
    CHECK_TRUE_TEXT(contains(response, "data: e1\n\n") && contains(response, "data: e2\n\n"), response.c_str());
    LONGS_EQUAL(1, replaced.requests().size());
    CHECK_TRUE(contains(replaced.requests().front(), "\r\nRedwingseam-Target-Instance: e2\r\n"));
    CHECK_TRUE(contains(other.requests().front(), "\r\nRedwingseam-Target-Instance: e3\r\n"));
}
