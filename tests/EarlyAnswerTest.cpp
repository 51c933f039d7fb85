// Upstreams that answer before they have read a long request, and answers whose status is none.

#include "fakes/EarlyUpstream.h"
#include "fakes/GatewayFixture.h"
#include "http/BlockingClient.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::EarlyUpstream;
using fakes::GatewayFixture;

TEST_GROUP(EarlyAnswer) {
    // More than the buffers of both sockets hold.
    static std::string longBody() { return std::string(3 * 1024 * 1024, 'u');
}
static std::string partialAnswer(const std::string& framing, const std::string& version = "1.1")
{
    return "HTTP/" + version + " 200 OK\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Upstream-Seal: s\r\n" + framing + "\r\npart of the body";
}
static std::string withStatus(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
}
static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// Uploads a long body to an upstream that answers early, and returns what the client gets.
static std::string upload(const std::string& answer, bool resets, size_t readBytes = 0)
{
    GatewayFixture gateway;
    EarlyUpstream upstream(answer, resets, readBytes);
    gateway.addUpstream("d1", "desk", upstream.address());
    auto client = gateway.connectClient();
    auto request = GatewayFixture::post("/book/x", longBody());
    size_t sent = 0;
    while (sent < request.size()) {
        auto count = send(client.descriptor(), request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            break;
        sent += static_cast<size_t>(count);
    }
    return GatewayFixture::read(client, "<never>", 1500);
}
}
;

TEST(EarlyAnswer, AnswerWithoutLengthThatIsResetDuringTheUploadIsNotComplete)
{
    for (const char* version : { "1.1", "1.0" }) {
        for (int i = 0; i < 5; ++i) {
            auto received = upload(partialAnswer("", version), true);
            CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), received.c_str());
            CHECK_FALSE(contains(received, "part of the body"));
        }
    }
}

TEST(EarlyAnswer, AnswerWithoutLengthThatEndsBeforeTheUploadIsNotComplete)
{
    // The upstream closes with bytes of the upload unread, which resets the connection, before or after its end is seen.
    for (size_t readBytes : { size_t { 0 }, size_t { 100'000 } }) {
        auto received = upload(partialAnswer(""), false, readBytes);
        CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), received.c_str());
    }
}

TEST(EarlyAnswer, CutAnswerWithALengthIsNotComplete)
{
    for (const char* framing : { "Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n" }) {
        auto received = upload(partialAnswer(framing), true);
        CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), received.c_str());
    }
}

TEST(EarlyAnswer, WholeAnswerBeforeTheUploadHasEndedIsDelivered)
{
    auto received = upload(partialAnswer("Content-Length: 16\r\n"), false);
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 200 ") && contains(received, "part of the body"), received.c_str());
}

TEST(EarlyAnswer, StatusThatIsNoneIsNoAnswer)
{
    for (const char* status : { "000", "001", "099", "600", "700", "999" }) {
        GatewayFixture gateway;
        fakes::ScriptedUpstream upstream({ { withStatus(status) } });
        gateway.addUpstream("d1", "desk", upstream);
        auto received = gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), (std::string(status) + received).c_str());
        // The request may have run.
        LONGS_EQUAL(1, upstream.requests().size());
    }
}

TEST(EarlyAnswer, IdempotentRequestIsSentElsewhereAfterAStatusThatIsNone)
{
    for (const char* status : { "000", "099", "600", "999" }) {
        GatewayFixture gateway;
        fakes::ScriptedUpstream upstream({ { withStatus(status) } });
        fakes::ScriptedUpstream other({ { GatewayFixture::ok("other") } });
        gateway.addUpstream("d1", "desk", upstream);
        gateway.addUpstream("d2", "desk", other, "dc-b");
        auto received = gateway.exchange(GatewayFixture::get("/read/x"));
        CHECK_TRUE_TEXT(contains(received, "\r\n\r\nother"), (std::string(status) + received).c_str());
    }
}

TEST(EarlyAnswer, StreamWhoseStatusIsNoneGoesElsewhere)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { withStatus("000") } });
    fakes::ScriptedUpstream other({ { GatewayFixture::streamHead() + GatewayFixture::event(1) + "0\r\n\r\n" } });
    gateway.addUpstream("e1", "engines", upstream);
    gateway.addUpstream("e2", "engines", other, "dc-b");
    auto received = gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n"));
    CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 200 ") && contains(received, "data: e1"), received.c_str());
}

TEST(EarlyAnswer, StatusLineOfAnotherFormIsNoAnswer)
{
    for (const char* line : { "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/2 200 OK", "HTTP/1.1  200 OK", "200 OK" }) {
        GatewayFixture gateway;
        fakes::ScriptedUpstream upstream({ { std::string(line) + "\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 4\r\n\r\nbody" } });
        gateway.addUpstream("d1", "desk", upstream);
        auto received = gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(received.starts_with("HTTP/1.1 502 "), (std::string(line) + received).c_str());
    }
}

// The other programs use libcurl.
TEST(EarlyAnswer, LibraryClientTakesAStatusThatIsNoneForNoAnswer)
{
    for (const char* status : { "000", "099", "600", "999" }) {
        fakes::ScriptedUpstream upstream({ { withStatus(status) } });
        http::HttpRequest request { "POST", "http://" + upstream.address() + "/x" };
        request.body = "b";
        request.timeout = std::chrono::seconds(2);
        CHECK_FALSE_TEXT(http::exchange(request).isComplete, status);
    }
}

TEST(EarlyAnswer, LibraryClientTakesAnAnswerThatIsResetDuringTheUploadForNone)
{
    for (bool resets : { true, false }) {
        EarlyUpstream upstream(partialAnswer(""), resets, 0);
        http::HttpRequest request { "POST", "http://" + upstream.address() + "/x" };
        request.body = longBody();
        request.timeout = std::chrono::seconds(3);
        CHECK_FALSE(http::exchange(request).isComplete);
    }
}
