#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// Responses that are lost or damaged after the work may have run: it must neither run again nor be called not run.
TEST_GROUP(LostResponse) {
    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos;
}
}
;

TEST(LostResponse, RefusalWithoutTheUpstreamsStatementIsNoProof)
{
    // Something other than the upstream, or an upstream after the work, may send these.
    for (const char* status : { "408", "421", "429", "503" }) {
        GatewayFixture gateway;
        const auto response = std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n";
        ScriptedUpstream upstream({ { response }, { response } });
        ScriptedUpstream other({ { GatewayFixture::ok("other") } });
        gateway.addUpstream("d1", "desk", upstream);
        gateway.addUpstream("d2", "desk", other, "dc-b");
        auto answer = gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(contains(answer, "HTTP/1.1 502 "), status);
        LONGS_EQUAL_TEXT(0, other.requests().size(), status);
        // An idempotent request may run again.
        CHECK_TRUE_TEXT(contains(gateway.exchange(GatewayFixture::get("/read/x")), "\r\n\r\nother"), status);
    }
}

TEST(LostResponse, NonIdempotentRequestIsNotSentAgainWhereverItsResponseIsLost)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 10\r\n\r\n";
    for (const auto& part : { std::string(), std::string("HTTP/1.1 2"), head, head + "abc" }) {
        for (bool isReset : { false, true }) {
            GatewayFixture gateway;
            ScriptedUpstream upstream({ { GatewayFixture::ok("kept") }, { part, !isReset, isReset } });
            ScriptedUpstream other({ { GatewayFixture::ok("other") } });
            gateway.addUpstream("d1", "desk", upstream);
            gateway.addUpstream("d2", "desk", other, "dc-b");
            // The second request goes out on the connection that the first one left open.
            CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "kept"));
            auto answer = gateway.exchange(GatewayFixture::post("/book/x", "b"));
            CHECK_TRUE_TEXT(contains(answer, "HTTP/1.1 502 "), part.c_str());
            LONGS_EQUAL(2, upstream.requests().size());
            LONGS_EQUAL(0, other.requests().size());
        }
    }
}
