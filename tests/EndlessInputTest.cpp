#include "fakes/EndlessUpstream.h"
#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::EndlessUpstream;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

// Peers that send bytes without end. Each connection must be closed after a bounded number of bytes, well before the
// deadline of the request, and the request must be treated as one that may have run.
TEST_GROUP(EndlessInput)
{
    // Covers the limits of the gateway (8 MiB for a body) and what socket buffers hold.
    static constexpr uint64_t maxSentBytes = 24 * 1024 * 1024;

    struct EndlessResponse {
        const char* name;
        std::string prefix;
        std::string pattern;
    };

    // A gateway with an upstream that answers without end, and a sound one that is chosen second.
    struct BesideSoundUpstream {
        explicit BesideSoundUpstream(const EndlessResponse& endless)
            : upstream(endless.prefix, endless.pattern)
            , other({ { GatewayFixture::ok("other") } })
        {
            gateway.addUpstream("d1", "desk", upstream.address());
            gateway.addUpstream("d2", "desk", other, "dc-b");
        }

        GatewayFixture gateway;
        EndlessUpstream upstream;
        ScriptedUpstream other;
    };

    static std::string signedHead() { return "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\n"; }

    static std::vector<EndlessResponse> endlessResponses()
    {
        return {
            { "header line", "HTTP/1.1 200 OK\r\nX: ", "a" },
            { "header lines", "HTTP/1.1 200 OK\r\n", "X: a\r\n" },
            { "status line", "HTTP/1.1 200 ", "O" },
            { "interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n" },
            { "late responses", "", "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx" },
            { "late response", "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
            { "chunk size", signedHead() + "Transfer-Encoding: chunked\r\n\r\n", "0" },
            { "chunk extension", signedHead() + "Transfer-Encoding: chunked\r\n\r\n1;x=", "y" },
            { "trailer line", signedHead() + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX: ", "a" },
            { "trailers", signedHead() + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: a\r\n" },
            { "chunks", signedHead() + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n" },
            { "body without length", signedHead() + "\r\n", "abcd" },
            { "garbage", "", "\x01\x02 no response \xff" },
        };
    }

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }
};

TEST(EndlessInput, NonIdempotentRequestFailsWithoutBeingCalledNotRun)
{
    for (const auto& endless : endlessResponses()) {
        BesideSoundUpstream run(endless);
        auto response = run.gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 502 "), endless.name);
        CHECK_TRUE_TEXT(run.upstream.sentBytes() < maxSentBytes, endless.name);
        LONGS_EQUAL_TEXT(0, run.other.requests().size(), endless.name);
        for (int i = 0; i < 100 && run.gateway.state.buffers.usedBytes(); ++i)
            poll(nullptr, 0, 10);
        LONGS_EQUAL_TEXT(0, run.gateway.state.buffers.usedBytes(), endless.name);
    }
}

TEST(EndlessInput, IdempotentRequestIsServedElsewhere)
{
    for (const auto& endless : endlessResponses()) {
        BesideSoundUpstream run(endless);
        CHECK_TRUE_TEXT(contains(run.gateway.exchange(GatewayFixture::get("/read/x")), "\r\n\r\nother"), endless.name);
        CHECK_TRUE_TEXT(run.upstream.sentBytes() < maxSentBytes, endless.name);
    }
}

TEST(EndlessInput, StreamGoesOnElsewhereAfterAnEventWithoutEnd)
{
    GatewayFixture gateway;
    EndlessUpstream upstream(GatewayFixture::streamHead() + GatewayFixture::event(1) + "8\r\nid: 2\nda\r\n", "4\r\nabcd\r\n");
    ScriptedUpstream other({ { GatewayFixture::streamHead() + GatewayFixture::event(2) + "0\r\n\r\n" } });
    gateway.addUpstream("e1", "engines", upstream.address());
    gateway.addUpstream("e2", "engines", other, "dc-b");
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n"));
    CHECK_TRUE(contains(response, "data: e1\n\n"));
    CHECK_TRUE(contains(response, "data: e2\n\n"));
    CHECK_TRUE(contains(response, "\r\n0\r\n\r\n"));
    CHECK_TRUE(upstream.sentBytes() < maxSentBytes);
}

TEST(EndlessInput, EventsForAClientThatDoesNotReadAreNotBuffered)
{
    GatewayFixture gateway;
    std::string largeEvent = "data: " + std::string(8000, 'x') + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", largeEvent.size());
    EndlessUpstream upstream(GatewayFixture::streamHead(), size + largeEvent + "\r\n");
    gateway.addUpstream("e1", "engines", upstream.address());
    auto client = gateway.connectClient();
    GatewayFixture::write(client, GatewayFixture::post("/stream/x", "b"));
    poll(nullptr, 0, 700);
    auto sentEarlier = upstream.sentBytes();
    poll(nullptr, 0, 300);
    LONGS_EQUAL(sentEarlier, upstream.sentBytes());
    CHECK_TRUE(upstream.sentBytes() < maxSentBytes);
}

TEST(EndlessInput, ClientsThatSendWithoutEndAreRejected)
{
    const std::string head = "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Key: key\r\n";
    const std::vector<EndlessResponse> requests {
        { "header line", head + "X: ", "a" },
        { "header lines", head, "X: a\r\n" },
        { "request line", "GET /", "a" },
        { "chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0" },
        { "chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", "y" },
        { "trailers", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: a\r\n" },
        { "chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n" },
    };
    for (const auto& request : requests) {
        GatewayFixture gateway;
        auto client = gateway.connectClient();
        std::string block;
        while (block.size() < 16 * 1024)
            block += request.pattern;
        GatewayFixture::write(client, request.prefix);
        std::string response;
        size_t sent = 0;
        for (; response.empty() && sent < maxSentBytes; sent += block.size()) {
            send(client.descriptor(), block.data(), block.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            response = GatewayFixture::read(client, "HTTP/1.1 4", 1);
        }
        CHECK_TRUE_TEXT(contains(response, "HTTP/1.1 4"), request.name);
    }
}

TEST(EndlessInput, BodiesOfAllClientsTogetherAreBounded)
{
    GatewayFixture gateway;
    std::vector<base::FileDescriptor> clients;
    const std::string head = "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Key: key\r\nContent-Length: 4000000\r\n\r\n";
    const std::string body(3900000, 'x');
    unsigned refused = 0;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(gateway.connectClient());
        GatewayFixture::write(clients.back(), head + body);
        refused += contains(GatewayFixture::read(clients.back(), "HTTP/1.1 503", 50), "HTTP/1.1 503");
    }
    CHECK_TRUE(refused > 0);
    static constexpr size_t maxBufferedBytes = 16 * 1024 * 1024;
    CHECK_TRUE(gateway.state.buffers.usedBytes() <= maxBufferedBytes);
}
