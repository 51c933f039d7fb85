#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// Responses of upstreams whose framing two HTTP parsers may read differently.
TEST_GROUP(ResponseFraming) {
    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos;
}

static std::string response(const std::string& framing, const std::string& body, const std::string& version = "1.1")
{
    return "HTTP/" + version + " 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nKeep-Alive: timeout=10\r\n" + framing + "\r\n" + body;
}

static std::vector<std::string> oddResponses()
{
    return {
        response("Transfer-Encoding: gzip\r\n", "abc"),
        response("Transfer-Encoding: identity\r\n", "abc"),
        response("Transfer-Encoding: \r\n", "abc"),
        response("Transfer-Encoding: chunked, gzip\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Transfer-Encoding: gzip, chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Transfer-Encoding: chunked, chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Transfer-Encoding: chunked;q=1\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Transfer-Encoding: gzip\r\nContent-Length: 3\r\n", "abc"),
        response("Content-Length: 3\r\nTransfer-Encoding: gzip\r\n", "abc"),
        response("Transfer-Encoding: chunked\r\nContent-Length: 13\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Content-Length: 13\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        response("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", "1.0"),
        response("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"),
        response("Content-Length: 3\r\nContent-Length: 5\r\n", "abcde"),
        response("Content-Length: 3, 3\r\n", "abc"),
        response("Content-Length: +3\r\n", "abc"),
    };
}
}
;

// Such responses used to be delivered, as whole ones and in another form than the upstream sent.
TEST(ResponseFraming, OddFramingMakesTheAttemptMalformed)
{
    for (const auto& odd : oddResponses()) {
        GatewayFixture gateway;
        ScriptedUpstream upstream({ { odd, true } });
        gateway.addUpstream("d1", "desk", upstream);
        auto received = gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), (odd + received).c_str());
        LONGS_EQUAL(1, upstream.requests().size());
    }
}

TEST(ResponseFraming, ConnectionWithOddFramingIsClosedAndNotUsedAgain)
{
    for (const auto& odd : oddResponses()) {
        GatewayFixture gateway;
        ScriptedUpstream upstream({ { odd } });
        ScriptedUpstream other({ { GatewayFixture::ok("other") }, { GatewayFixture::ok("other") } });
        gateway.addUpstream("d1", "desk", upstream);
        gateway.addUpstream("d2", "desk", other, "dc-b");
        auto received = gateway.exchange(GatewayFixture::get("/read/x"));
        CHECK_TRUE_TEXT(contains(received, "\r\n\r\nother"), (odd + received).c_str());
        for (int i = 0; i < 100 && !upstream.closedConnections(); ++i)
            poll(nullptr, 0, 10);
        LONGS_EQUAL_TEXT(1, upstream.closedConnections(), odd.c_str());
    }
}

// The parser used to reserve memory for the stated length, and the process ended.
TEST(ResponseFraming, HugeLengthMakesTheAttemptMalformed)
{
    for (const char* length : { "99999999999999", "4611686018427387903", "9223372036854775807", "18446744073709551615", "100000000" }) {
        GatewayFixture gateway;
        ScriptedUpstream upstream({ { response(std::string("Content-Length: ") + length + "\r\n", "abc") } });
        gateway.addUpstream("d1", "desk", upstream);
        auto received = gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), (length + received).c_str());
    }
}

// Trailer fields used to become header fields of the response.
TEST(ResponseFraming, TrailerFieldsAreDropped)
{
    GatewayFixture gateway;
    ScriptedUpstream upstream({ { response("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\nX-Trailer: 1\r\nRedwingseam-Not-Executed: 1\r\n\r\n") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto received = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 200 "), received.c_str());
    CHECK_TRUE_TEXT(contains(received, "\r\n\r\nabc"), received.c_str());
    CHECK_FALSE_TEXT(contains(received, "X-Trailer"), received.c_str());
    CHECK_FALSE_TEXT(contains(received, "Not-Executed"), received.c_str());
}

// A signature in the trailer used to make an unsigned response a success.
TEST(ResponseFraming, TrailerFieldsProveNothing)
{
    GatewayFixture gateway;
    ScriptedUpstream upstream({ { "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nRedwingseam-Upstream-Seal: s\r\n\r\n" } });
    gateway.addUpstream("d1", "desk", upstream);
    auto received = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), received.c_str());
}
