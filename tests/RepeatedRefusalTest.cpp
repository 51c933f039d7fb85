// A refusal of an earlier request that an upstream writes once more on a kept connection must not count for the request
// that the connection carries by then.

#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

static bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Returns a refusal with the upstream's statement that the request was not run. `id` may be empty.
static std::string refusal(const std::string& status, const std::string& id, const std::string& bodyPart = "Content-Length: 4\r\n\r\nfull")
{
    return "HTTP/1.1 " + status + " X\r\n" + (id.empty() ? "" : "Redwingseam-Attempt-Id: " + id + "\r\n") + "Redwingseam-Not-Executed: 1\r\nRetry-After: 1\r\nKeep-Alive: timeout=10\r\n" + bodyPart;
}

static std::vector<std::string> refusalsOf(const std::string& id)
{
    std::vector<std::string> refusals;
    for (const char* status : { "400", "408", "421", "429", "503" }) {
        refusals.push_back(refusal(status, id));
        refusals.push_back(refusal(status, id, "Content-Length: 0\r\n\r\n"));
        refusals.push_back(refusal(status, id, "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"));
    }
    return refusals;
}

TEST_GROUP(RepeatedRefusal)
{
    // Two upstreams, of which the first has a kept connection and answers the next request with `answer`.
    struct Run {
        explicit Run(const std::string& answer, bool closes = false)
            : first({ { GatewayFixture::ok("one") }, { answer, closes } })
            , second({ { GatewayFixture::ok("second") } })
        {
            gateway.addUpstream("d1", "desk", first);
            CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\none"));
            gateway.addUpstream("d2", "desk", second, "dc-b");
            response = gateway.exchange(GatewayFixture::post("/book/x", "b"));
            LONGS_EQUAL(1, first.acceptedConnections());
            LONGS_EQUAL(2, first.requests().size());
        }

        GatewayFixture gateway;
        ScriptedUpstream first;
        ScriptedUpstream second;
        std::string response;
    };
};

TEST(RepeatedRefusal, OfAnEarlierRequestIsSkippedBeforeTheAnswer)
{
    for (const auto& earlier : refusalsOf("a0")) {
        Run run(earlier + GatewayFixture::ok("mine"));
        CHECK_TRUE_TEXT(contains(run.response, "\r\n\r\nmine"), (earlier + run.response).c_str());
        LONGS_EQUAL(0, run.second.requests().size());
        Run twice(earlier + earlier + GatewayFixture::ok("mine"));
        CHECK_TRUE(contains(twice.response, "\r\n\r\nmine"));
    }
}

TEST(RepeatedRefusal, WithoutAnAnswerLeavesTheOutcomeUnknown)
{
    for (const auto& earlier : refusalsOf("a0")) {
        Run run(earlier, true);
        CHECK_TRUE_TEXT(contains(run.response, "HTTP/1.1 502 "), (earlier + run.response).c_str());
        LONGS_EQUAL(0, run.second.requests().size());
    }
}

TEST(RepeatedRefusal, WithoutAnIdIsNotTrustedOnAKeptConnection)
{
    for (const auto& earlier : refusalsOf("")) {
        Run run(earlier + GatewayFixture::ok("mine"));
        CHECK_TRUE_TEXT(contains(run.response, "HTTP/1.1 502 "), (earlier + run.response).c_str());
        LONGS_EQUAL(0, run.second.requests().size());
    }
}

TEST(RepeatedRefusal, WithoutAnIdIsNotTrustedAfterALateAnswerOnANewConnection)
{
    // The late answer shows that the connection brings answers that belong to other requests.
    for (const auto& earlier : refusalsOf("")) {
        GatewayFixture gateway;
        ScriptedUpstream first({ { refusal("503", "a0") + earlier } });
        ScriptedUpstream second({ { GatewayFixture::ok("second") } });
        gateway.addUpstream("d1", "desk", first);
        gateway.addUpstream("d2", "desk", second, "dc-b");
        auto response = gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 502 "), (earlier + response).c_str());
        LONGS_EQUAL(0, second.requests().size());
    }
}

TEST(RepeatedRefusal, AfterTheAnswerIsNotUsedForTheNextRequest)
{
    for (const std::string& id : { std::string("$ID"), std::string("a0"), std::string() }) {
        for (const auto& extra : refusalsOf(id)) {
            GatewayFixture gateway;
            ScriptedUpstream upstream({ { GatewayFixture::ok("one") + extra }, { GatewayFixture::ok("two") } });
            gateway.addUpstream("d1", "desk", upstream);
            CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\none"));
            auto response = gateway.exchange(GatewayFixture::post("/book/x", "b"));
            CHECK_TRUE_TEXT(contains(response, "\r\n\r\ntwo"), (extra + response).c_str());
            LONGS_EQUAL(2, upstream.acceptedConnections());
        }
    }
}

TEST(RepeatedRefusal, RequestThatWasRefusedIsNotSentOnTheConnectionOfItsRefusalAgain)
{
    // The copy bears the id of the request, whose later attempt may be running.
    GatewayFixture gateway;
    ScriptedUpstream upstream({ { refusal("503", "$ID") }, { refusal("503", "$ID") }, { refusal("503", "$ID") }, { refusal("503", "$ID") } });
    ScriptedUpstream backup({});
    ScriptedUpstream otherBackup({});
    gateway.addUpstream("e1", "engines", upstream);
    gateway.addUpstream("e2", "engines", backup, "dc-b");
    gateway.addUpstream("e3", "engines", otherBackup, "dc-c");
    gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n"));
    LONGS_EQUAL(upstream.requests().size(), upstream.acceptedConnections());
}

TEST(RepeatedRefusal, StreamWithoutAnIdIsNotTrustedOnAKeptConnection)
{
    auto anonymous = GatewayFixture::streamHead();
    anonymous.erase(anonymous.find("Redwingseam-Attempt-Id"), std::string("Redwingseam-Attempt-Id: $ID\r\n").size());
    GatewayFixture gateway;
    ScriptedUpstream upstream({ { GatewayFixture::streamHead() + GatewayFixture::event(1) + "0\r\n\r\n" }, { anonymous + GatewayFixture::event(7) + "0\r\n\r\n" } });
    gateway.addUpstream("e1", "engines", upstream);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/stream/x", "b")), "data: e1\n\n"));
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", "b"));
    LONGS_EQUAL(1, upstream.acceptedConnections());
    CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 502 ") && !contains(response, "e7"), response.c_str());
}
