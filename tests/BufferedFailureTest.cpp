#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// A failure response is buffered while another attempt is made, and that attempt does not end well.
TEST_GROUP(BufferedFailure)
{
    GatewayFixture gateway;

    static std::string failure() { return "HTTP/1.1 500 Internal Server Error\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 5\r\n\r\nfault"; }

    static bool isFailure(const std::string& response) { return response.starts_with("HTTP/1.1 500 ") && response.find("\r\n\r\nfault") != std::string::npos; }
};

TEST(BufferedFailure, PartOfALaterResponseIsNotDeliveredAtTheTimeout)
{
    ScriptedUpstream failing({ { failure() } });
    auto partial = GatewayFixture::ok("0123456789");
    ScriptedUpstream slow({ { partial.substr(0, partial.size() - 5) } });
    gateway.addUpstream("d1", "desk", failing);
    gateway.addUpstream("d2", "desk", slow, "dc-b");
    auto response = gateway.exchange(GatewayFixture::get("/read/x"));
    LONGS_EQUAL(1, slow.requests().size());
    CHECK_TRUE_TEXT(isFailure(response), response.c_str());
}

TEST(BufferedFailure, StreamWithoutEventsIsNotDeliveredAtTheTimeout)
{
    ScriptedUpstream failing({ { failure() } });
    ScriptedUpstream slow({ { GatewayFixture::streamHead() } });
    gateway.addUpstream("e1", "engines", failing);
    gateway.addUpstream("e2", "engines", slow, "dc-b");
    auto request = GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 8000,650\r\n");
    request.replace(request.find("Ms: 2500"), 8, "Ms: 1000");
    auto response = gateway.exchange(request);
    LONGS_EQUAL(1, slow.requests().size());
    CHECK_TRUE_TEXT(isFailure(response), response.c_str());
}

TEST(BufferedFailure, IsDeliveredAfterAStreamThatBrokeOffBeforeItsFirstEvent)
{
    ScriptedUpstream failing({ { failure() } });
    ScriptedUpstream broken({ { GatewayFixture::streamHead(), true } });
    gateway.addUpstream("e1", "engines", failing);
    gateway.addUpstream("e2", "engines", broken, "dc-b");
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 8000,650\r\n"));
    LONGS_EQUAL(1, broken.requests().size());
    CHECK_TRUE_TEXT(isFailure(response), response.c_str());
}
