// Upstreams of two software versions serve side by side. What they write doesn't fit together, so a stream goes on only at
// the version that began it.

#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedResponse;
using fakes::ScriptedUpstream;

static ScriptedResponse brokenAfter(unsigned event)
{
    return { GatewayFixture::streamHead() + GatewayFixture::event(event), true };
}

static ScriptedResponse wholeWith(unsigned event)
{
    return { GatewayFixture::streamHead() + GatewayFixture::event(event) + "0\r\n\r\n" };
}

static std::string takeUp(unsigned lastEvent, const std::string& begunBy)
{
    return "GET /stream/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a2\r\nRedwingseam-Deadline-Ms: 25000\r\nRedwingseam-Key: key\r\nConnection: close\r\nLast-Event-Id: " + std::to_string(lastEvent) + "\r\nResumes: " + begunBy + "\r\n\r\n";
}

TEST_GROUP(SoftwareVersion) {};

// The version of the upstreams in the client's own data centre is another one, and they are idle.
TEST(SoftwareVersion, ClientTakesUpItsStreamAtTheVersionThatBeganIt)
{
    ScriptedUpstream begins({ brokenAfter(1), wholeWith(2) });
    ScriptedUpstream other({ wholeWith(2), wholeWith(2) });
    GatewayFixture fixture;
    fixture.addUpstream("e1", "engines", begins, "dc-b", "v1");
    auto first = fixture.exchange(GatewayFixture::get("/stream/x"));
    STRCMP_CONTAINS("data: e1", first.c_str());
    fixture.addUpstream("e2", "engines", other, "dc-a", "v2");
    auto rest = fixture.exchange(takeUp(1, "a1"));
    LONGS_EQUAL(0, other.requests().size());
    LONGS_EQUAL(2, begins.requests().size());
    STRCMP_CONTAINS("data: e2", rest.c_str());
}

// There are more upstreams of another version, so that a choice among all of them rarely meets the right one.
TEST(SoftwareVersion, GatewayResumesAStreamAtTheVersionThatBeganIt)
{
    static constexpr int rounds = 3;
    static constexpr int othersOfEachRound = 8;
    for (int round = 0; round < rounds; ++round) {
        ScriptedUpstream begins({ brokenAfter(1) });
        ScriptedUpstream same({ wholeWith(2) });
        ScriptedUpstream other({ wholeWith(2) });
        GatewayFixture fixture;
        fixture.addUpstream("e1", "engines", begins, "dc-a", "v1");
        fixture.addUpstream("e2", "engines", same, "dc-b", "v1");
        for (int i = 0; i < othersOfEachRound; ++i)
            fixture.addUpstream("o" + std::to_string(i), "engines", other, "dc-c", "v2");
        auto client = fixture.connectClient();
        GatewayFixture::write(client, GatewayFixture::get("/stream/x"));
        auto response = GatewayFixture::read(client);
        STRCMP_CONTAINS("data: e1", response.c_str());
        STRCMP_CONTAINS("data: e2", response.c_str());
        LONGS_EQUAL(0, other.requests().size());
        LONGS_EQUAL(1, same.requests().size());
    }
}
