#include "fakes/GatewayFixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

static bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

static size_t countOccurrences(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

TEST_GROUP(Gateway)
{
    GatewayFixture gateway;
};

TEST(Gateway, ForwardsRequestAndResponseUnchanged)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("body", "X-Own: 1\r\n") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto response = gateway.exchange(GatewayFixture::post("/book/a%20b?q=1", "hello", "X-Mine: 2\r\nRedwingseam-Tenant: forged\r\nRedwingseam-Hold: x\r\nKv-From: y\r\n"));
    CHECK_TRUE(contains(response, "HTTP/1.1 200 OK\r\n"));
    CHECK_TRUE(contains(response, "Redwingseam-Upstream-Seal: s\r\n"));
    CHECK_TRUE(contains(response, "X-Own: 1\r\n"));
    CHECK_TRUE(contains(response, "\r\n\r\nbody"));
    auto request = upstream.requests().at(0);
    CHECK_TRUE(contains(request, "POST /book/a%20b?q=1 HTTP/1.1\r\n"));
    CHECK_TRUE(contains(request, "X-Mine: 2\r\n"));
    CHECK_TRUE(contains(request, "Redwingseam-Tenant: account\r\n"));
    CHECK_TRUE(contains(request, "Redwingseam-Target-Instance: d1\r\n"));
    CHECK_TRUE(contains(request, "\r\n\r\nhello"));
    for (const char* dropped : { "Redwingseam-Key", "forged", "Redwingseam-Hold", "Kv-From", "Connection: close" })
        CHECK_FALSE(contains(request, dropped));
}

TEST(Gateway, ForwardsChunkedRequestBodyWithContentLength)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("x") } });
    gateway.addUpstream("d1", "desk", upstream);
    gateway.exchange("POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Key: key\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK_TRUE(contains(upstream.requests().at(0), "Content-Length: 5\r\n\r\nabcde"));
}

TEST(Gateway, ReusesUpstreamConnections)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("1") }, { GatewayFixture::ok("2") }, { GatewayFixture::ok("3") } });
    gateway.addUpstream("d1", "desk", upstream);
    for (int i = 0; i < 3; ++i)
        CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "200 OK"));
    LONGS_EQUAL(1, upstream.acceptedConnections());
}

TEST(Gateway, RejectsUnknownRouteAndUnknownKey)
{
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::get("/none/x")), "HTTP/1.1 404 "));
    auto unknownKey = GatewayFixture::get("/read/x");
    unknownKey.replace(unknownKey.find("Key: key"), 8, "Key: no!");
    CHECK_TRUE(contains(gateway.exchange(unknownKey), "HTTP/1.1 401 "));
}

TEST(Gateway, RefusesWithRetryAfterWhenNoUpstreamIsKnown)
{
    auto response = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE(contains(response, "HTTP/1.1 503 "));
    CHECK_TRUE(contains(response, "Retry-After: 0.300\r\n"));
}

TEST(Gateway, RejectsFramingThatAllowsRequestSmuggling)
{
    ScriptedUpstream upstream({});
    gateway.addUpstream("d1", "desk", upstream);
    const std::string head = "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Key: key\r\n";
    for (const char* framing : { "Content-Length: 3\r\nContent-Length: 5\r\n", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "Content-Length : 3\r\n", "Content-Length: +3\r\n", "Content-Length: 3x\r\n" }) {
        auto response = gateway.exchange(head + framing + "\r\nabcde");
        CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 400 "), framing);
    }
    LONGS_EQUAL(0, upstream.requests().size());
}

TEST(Gateway, RejectsOversizedHeadersAndBodies)
{
    auto response = gateway.exchange(GatewayFixture::get("/read/x", "X-Long: " + std::string(20000, 'a') + "\r\n"));
    CHECK_TRUE(contains(response, "HTTP/1.1 431 "));
    response = gateway.exchange("POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Key: key\r\nContent-Length: 9999999\r\n\r\n");
    CHECK_TRUE(contains(response, "HTTP/1.1 413 "));
}

TEST(Gateway, IdempotentRequestIsRetriedAfterInvalidResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\n";
    const std::vector<fakes::ScriptedResponse> invalidResponses {
        { head + "Content-Length: 10\r\n\r\nabc", true }, // truncated
        { head + "\r\nabc", false, true }, // no length, and the connection is reset
        { "no answer at all\r\n\r\n", true },
        { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false }, // no signature
        { "", true },
    };
    for (const auto& invalidResponse : invalidResponses) {
        GatewayFixture fresh;
        ScriptedUpstream bad({ invalidResponse });
        ScriptedUpstream good({ { GatewayFixture::ok("good") } });
        fresh.addUpstream("d1", "desk", bad);
        fresh.addUpstream("d2", "desk", good, "dc-b");
        auto response = fresh.exchange(GatewayFixture::get("/read/x"));
        CHECK_TRUE_TEXT(contains(response, "\r\n\r\ngood"), invalidResponse.bytes.c_str());
        LONGS_EQUAL(1, countOccurrences(response, "HTTP/1.1"));
    }
}

TEST(Gateway, BufferedFailureResponseIsDeliveredCompleteAfterLaterAttemptFails)
{
    // Guards against delivering the truncated response of the second attempt as if it were complete.
    const std::string failure = "HTTP/1.1 500 X\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: f\r\nContent-Length: 6\r\n\r\nfailed";
    const std::vector<fakes::ScriptedResponse> secondResponses {
        { "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 9\r\n\r\nabc", true },
        { "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n" },
        { "HTTP/1.1 503 X\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" },
    };
    for (const auto& secondResponse : secondResponses) {
        GatewayFixture fresh;
        ScriptedUpstream failing({ { failure } });
        ScriptedUpstream other({ secondResponse });
        fresh.addUpstream("d1", "desk", failing);
        fresh.addUpstream("d2", "desk", other, "dc-b");
        auto response = fresh.exchange(GatewayFixture::get("/read/x"));
        CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 500 "), response.c_str());
        CHECK_TRUE(contains(response, "Upstream-Seal: f\r\n") && contains(response, "\r\n\r\nfailed"));
    }
}

TEST(Gateway, NonIdempotentRequestIsNeitherRetriedNorRefusedAfterInvalidResponse)
{
    const std::vector<fakes::ScriptedResponse> invalidResponses { { "", true }, { "", false, true }, { "garbage\r\n\r\n", true }, { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true } };
    for (const auto& invalidResponse : invalidResponses) {
        GatewayFixture fresh;
        ScriptedUpstream bad({ invalidResponse });
        ScriptedUpstream other({ { GatewayFixture::ok("other") } });
        fresh.addUpstream("d1", "desk", bad);
        fresh.addUpstream("d2", "desk", other, "dc-b");
        auto response = fresh.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 502 "), response.c_str());
        LONGS_EQUAL(1, bad.requests().size());
        LONGS_EQUAL(0, other.requests().size());
    }
}

TEST(Gateway, RequestThatCrashesUpstreamsIsRefusedAfterThreeCrashes)
{
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    for (int i = 0; i < 8; ++i) {
        upstreams.push_back(std::make_unique<ScriptedUpstream>(std::vector<fakes::ScriptedResponse>(5, { "", true })));
        gateway.addUpstream("d" + std::to_string(i), "desk", *upstreams.back(), "dc-" + std::to_string(i));
    }
    std::string last;
    for (int i = 0; i < 8; ++i)
        last = gateway.exchange(GatewayFixture::post("/book/x", "the same"));
    size_t arrivals = 0;
    for (const auto& upstream : upstreams)
        arrivals += upstream->requests().size();
    LONGS_EQUAL(3, arrivals);
    CHECK_TRUE_TEXT(contains(last, "HTTP/1.1 503 ") && contains(last, "HarmfulRequest"), last.c_str());
    // A request with a different body has another fingerprint and is still sent.
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "another")), "HTTP/1.1 502 "));
}

TEST(Gateway, ResponseWithoutLengthEndsWithItsConnection)
{
    ScriptedUpstream upstream({ { "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\n\r\nwhole", true } });
    gateway.addUpstream("d1", "desk", upstream);
    auto response = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE(contains(response, "Content-Length: 5\r\n"));
    CHECK_TRUE(contains(response, "\r\n\r\nwhole"));
}

TEST(Gateway, LateResponseToAnotherRequestIsSkipped)
{
    auto late = GatewayFixture::ok("late");
    late.replace(late.find("$ID"), 3, "zz");
    ScriptedUpstream upstream({ { late + GatewayFixture::ok("mine") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto response = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE(contains(response, "\r\n\r\nmine"));
    CHECK_FALSE(contains(response, "late"));
}

TEST(Gateway, BytesAfterResponseAreNotUsedForNextRequest)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("one") + GatewayFixture::ok("extra") }, { GatewayFixture::ok("two") } });
    gateway.addUpstream("d1", "desk", upstream);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\none"));
    auto second = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE(contains(second, "\r\n\r\ntwo"));
    LONGS_EQUAL(2, upstream.acceptedConnections());
}

TEST(Gateway, RequestIsRetriedAfterUpstreamDidNotRunIt)
{
    ScriptedUpstream full({ { "HTTP/1.1 503 Service Unavailable\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" } });
    ScriptedUpstream free({ { GatewayFixture::ok("free") } });
    gateway.addUpstream("d1", "desk", full);
    gateway.addUpstream("d2", "desk", free, "dc-b");
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\nfree"));
}

TEST(Gateway, BrokenStreamResumesAtBackup)
{
    ScriptedUpstream first({ { GatewayFixture::streamHead() + GatewayFixture::event(1) + GatewayFixture::event(2) + "9\r\nid: 3\nda", true } });
    ScriptedUpstream second({ { GatewayFixture::streamHead() + GatewayFixture::event(3) + GatewayFixture::event(4) + "0\r\n\r\n" } });
    gateway.addUpstream("e1", "engines", first);
    gateway.addUpstream("e2", "engines", second, "dc-b");
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n"));
    for (const char* part : { "data: e1\n\n", "data: e2\n\n", "data: e3\n\n", "data: e4\n\n" })
        LONGS_EQUAL(1, countOccurrences(response, part));
    LONGS_EQUAL(1, countOccurrences(response, "HTTP/1.1 200"));
    CHECK_TRUE(contains(response, "\r\n0\r\n\r\n"));
    CHECK_TRUE(contains(first.requests().at(0), "Redwingseam-Kv-Backup: " + second.address()));
    auto resumed = second.requests().at(0);
    CHECK_TRUE(contains(resumed, "Kv-From: " + second.address() + "/a1\r\n"));
    CHECK_TRUE(contains(resumed, "Last-Event-Id: 2\r\n"));
}

TEST(Gateway, StreamThatCannotResumeIsNotTerminatedNormally)
{
    ScriptedUpstream only({ { GatewayFixture::streamHead() + GatewayFixture::event(1), true } });
    gateway.addUpstream("e1", "engines", only);
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", "b"));
    CHECK_TRUE(contains(response, "data: e1\n\n"));
    CHECK_FALSE(contains(response, "\r\n0\r\n\r\n"));
    CHECK_TRUE(contains(response, "<closed>"));
}

TEST(Gateway, ClientDisconnectCancelsUpstreamRequest)
{
    ScriptedUpstream upstream({ { GatewayFixture::streamHead() + GatewayFixture::event(1) } });
    gateway.addUpstream("e1", "engines", upstream);
    {
        auto client = gateway.connectClient();
        GatewayFixture::write(client, GatewayFixture::post("/stream/x", "b"));
        CHECK_TRUE(contains(GatewayFixture::read(client, "data: e1\n\n"), "data: e1"));
    }
    for (int i = 0; i < 100 && !upstream.closedConnections(); ++i)
        poll(nullptr, 0, 10);
    LONGS_EQUAL(1, upstream.closedConnections());
}

TEST(Gateway, ServesPipelinedRequestsInOrder)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("one") }, { GatewayFixture::ok("two") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto request = GatewayFixture::get("/read/x");
    auto keepAliveRequest = request;
    keepAliveRequest.erase(keepAliveRequest.find("Connection: close\r\n"), 19);
    auto response = gateway.exchange(keepAliveRequest + request);
    CHECK_TRUE(response.find("one") < response.find("two"));
    CHECK_TRUE(contains(response, "<closed>"));
}

TEST(Gateway, DrainingNodeClosesKeepAliveConnectionsAndRefusesStreams)
{
    ScriptedUpstream upstream({ { GatewayFixture::ok("one") } });
    gateway.addUpstream("d1", "desk", upstream);
    gateway.state.drainStartedAt = base::BootClock {}.now() - std::chrono::seconds(3);
    auto request = GatewayFixture::post("/book/x", "b");
    request.erase(request.find("Connection: close\r\n"), 19);
    auto response = gateway.exchange(request);
    CHECK_TRUE(contains(response, "Connection: close\r\n"));
    CHECK_TRUE(contains(response, "one<closed>"));
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/stream/x", "b")), "HTTP/1.1 503 "));
}

TEST(Gateway, RequestsWithADeadlyPromptPartAreRefusedOfOneServiceOnly)
{
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    for (int i = 0; i < 8; ++i) {
        upstreams.push_back(std::make_unique<ScriptedUpstream>(std::vector<fakes::ScriptedResponse>(9, { "", true })));
        gateway.addUpstream("d" + std::to_string(i), "desk", *upstreams.back(), "dc-" + std::to_string(i));
    }
    ScriptedUpstream engine({ { GatewayFixture::streamHead() + GatewayFixture::event(1) + "0\r\n\r\n" } });
    gateway.addUpstream("e1", "engines", engine);
    std::string last;
    for (int i = 0; i < 12; ++i) {
        last = gateway.exchange(GatewayFixture::post("/book/x", std::to_string(i), "Redwingseam-Prompt-Prefix: aa" + std::to_string(i) + ":9,dead:7,bb" + std::to_string(i) + ":1\r\n"));
        // Upstreams that crash within a tenth of a second count as one failure.
        std::this_thread::sleep_for(std::chrono::milliseconds(110));
    }
    size_t arrivals = 0;
    for (const auto& upstream : upstreams)
        arrivals += upstream->requests().size();
    CHECK_TRUE(arrivals <= 5);
    CHECK_TRUE_TEXT(contains(last, "HTTP/1.1 503 ") && contains(last, "HarmfulRequest"), last.c_str());
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/stream/x", "s", "Redwingseam-Prompt-Prefix: aa1:9,dead:7,cc:1\r\n")), "data: e1"));
}
