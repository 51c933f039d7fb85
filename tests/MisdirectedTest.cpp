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
