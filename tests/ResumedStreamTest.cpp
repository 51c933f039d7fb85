// A stream has begun and broke off, and the next upstream does not go on with it: the client must get neither that
// upstream's error text nor an end that looks complete.

#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedResponse;
using fakes::ScriptedUpstream;

static size_t countOf(const std::string& text, const std::string& part)
{
    size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

static std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

static std::string head(const std::string& status, const std::string& headers)
{
    return "HTTP/1.1 " + status + "\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\n" + headers + "\r\n";
}

static const std::string eventStream = "Content-Type: text/event-stream\r\n";
static const std::string chunked = "Transfer-Encoding: chunked\r\n";
// Split at its blank lines, it looks like events.
static const std::string fault = "fault\n\nfault: 1\n\n{\"fault\":1}\n\n";
static const std::string wholeError = "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nfault\n\n";

static std::vector<ScriptedResponse> errors(const std::vector<std::string>& statuses, const std::string& type)
{
    std::vector<ScriptedResponse> responses;
    auto length = "Content-Length: " + std::to_string(fault.size()) + "\r\n";
    for (const auto& status : statuses) {
        responses.push_back({ head(status, type + length) + fault });
        responses.push_back({ head(status, type + chunked) + chunk(fault) + "0\r\n\r\n" });
        responses.push_back({ head(status, type) + fault, true });
        responses.push_back({ head(status, type + "Redwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n") });
    }
    return responses;
}

// Successes that are not the rest of the stream.
static std::vector<ScriptedResponse> falseSuccesses()
{
    auto unsealed = GatewayFixture::streamHead();
    unsealed.erase(unsealed.find("Redwingseam-Upstream-Seal"), std::string("Redwingseam-Upstream-Seal: s\r\n").size());
    auto length = "Content-Length: " + std::to_string(fault.size()) + "\r\n";
    auto stream = GatewayFixture::streamHead();
    return {
        { unsealed + GatewayFixture::event(3) + "0\r\n\r\n" },
        { head("200 OK", "Content-Type: text/plain\r\n" + length) + fault },
        { head("200 OK", eventStream + length) + fault },
        { stream + chunk(fault) + "0\r\n\r\n" },
        { stream + chunk("internal error\n\n") + "0\r\n\r\n" },
        { head("200 OK", eventStream) + fault, true },
        // A whole error within the bytes of the stream, before, after and within an event.
        { stream + chunk(wholeError) + "0\r\n\r\n" },
        { stream + GatewayFixture::event(3) + chunk(wholeError) + "0\r\n\r\n" },
        { stream + chunk("id: 3\nda" + wholeError) + "0\r\n\r\n" },
        { stream + chunk("id: 3\ndata: e" + wholeError) + "0\r\n\r\n" },
        { head("200 OK", eventStream) + "id: 3\nda" + wholeError, true },
        { stream + GatewayFixture::event(3) + wholeError, true },
        { stream + "9\r\nid: 3\nda" + wholeError, true },
    };
}

// Successes that end without a new event.
static std::vector<ScriptedResponse> emptySuccesses()
{
    auto stream = GatewayFixture::streamHead();
    return {
        { stream + "0\r\n\r\n" },
        { head("200 OK", eventStream + "Content-Length: 0\r\n") },
        { stream + chunk(": still here\n\n") + "0\r\n\r\n" },
        { stream + GatewayFixture::event(1) + GatewayFixture::event(2) + "0\r\n\r\n" },
    };
}

static ScriptedResponse broken()
{
    return { GatewayFixture::streamHead() + GatewayFixture::event(1) + GatewayFixture::event(2) + "9\r\nid: 3\nda", true };
}
static ScriptedResponse rest() { return { GatewayFixture::streamHead() + GatewayFixture::event(3) + GatewayFixture::event(4) + "0\r\n\r\n" }; }

// The first upstream breaks off after two events. The second one, which has its backup, is asked next, then the third.
static std::string play(const ScriptedResponse& second, const ScriptedResponse& third, const std::string& timeoutMs = "2500")
{
    GatewayFixture gateway;
    ScriptedUpstream firstUpstream({ broken() });
    ScriptedUpstream secondUpstream({ second, second, second });
    ScriptedUpstream thirdUpstream({ third });
    gateway.addUpstream("e1", "engines", firstUpstream);
    gateway.addUpstream("e2", "engines", secondUpstream, "dc-b");
    auto request = GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 100,10\r\n");
    request.replace(request.find("2500"), 4, timeoutMs);
    auto client = gateway.connectClient();
    GatewayFixture::write(client, request);
    for (int i = 0; i < 2000 && secondUpstream.requests().empty(); ++i)
        poll(nullptr, 0, 1);
    CHECK_FALSE(secondUpstream.requests().empty());
    CHECK_TRUE(secondUpstream.requests().front().find("Last-Event-Id: 2\r\n") != std::string::npos);
    if (!third.bytes.empty())
        gateway.addUpstream("e3", "engines", thirdUpstream);
    return GatewayFixture::read(client, "<never>", 3000);
}

static void checkNoForeignBytes(const std::string& response, const std::string& second)
{
    auto text = second + "\n=>\n" + response;
    LONGS_EQUAL_TEXT(1, countOf(response, "HTTP/1.1"), text.c_str());
    LONGS_EQUAL_TEXT(0, countOf(response, "fault") + countOf(response, "error"), text.c_str());
    LONGS_EQUAL_TEXT(1, countOf(response, "data: e2\n\n"), text.c_str());
}

static void checkWhole(const ScriptedResponse& second)
{
    auto response = play(second, rest());
    checkNoForeignBytes(response, second.bytes);
    for (const char* part : { "data: e1\n\n", "data: e3\n\n", "data: e4\n\n", "\r\n0\r\n\r\n" })
        LONGS_EQUAL_TEXT(1, countOf(response, part), (second.bytes + "\n=>\n" + response).c_str());
}

static void checkBrokenOff(const ScriptedResponse& second)
{
    auto response = play(second, {}, "400");
    checkNoForeignBytes(response, second.bytes);
    CHECK_TRUE_TEXT(countOf(response, "\r\n0\r\n\r\n") == 0 && countOf(response, "<closed>") == 1, (second.bytes + "\n=>\n" + response).c_str());
}

TEST_GROUP(ResumedStream) {};

TEST(ResumedStream, GoesOnAfterAnError)
{
    for (const auto& type : { std::string(), eventStream }) {
        for (const auto& error : errors({ "400 X", "404 X", "421 X", "429 X", "500 X", "502 X", "503 X", "206 X", "204 X" }, type))
            checkWhole(error);
    }
}

TEST(ResumedStream, IsBrokenOffIfOnlyAnErrorFollows)
{
    for (const auto& error : errors({ "404 X", "421 X", "500 X", "503 X" }, eventStream))
        checkBrokenOff(error);
}

TEST(ResumedStream, GoesOnAfterASuccessThatIsNotItsRest)
{
    for (const auto& success : falseSuccesses())
        checkWhole(success);
}

TEST(ResumedStream, IsBrokenOffIfOnlyASuccessThatIsNotItsRestFollows)
{
    for (const auto& success : falseSuccesses())
        checkBrokenOff(success);
}

TEST(ResumedStream, DoesNotEndBecauseOneUpstreamHasNoMoreEvents)
{
    for (const auto& success : emptySuccesses()) {
        checkWhole(success);
        checkBrokenOff(success);
    }
}

TEST(ResumedStream, EndsIfTwoUpstreamsHaveNoMoreEvents)
{
    // The last event had arrived before the stream broke off.
    for (const auto& success : emptySuccesses()) {
        auto response = play(success, success);
        checkNoForeignBytes(response, success.bytes);
        CHECK_TRUE_TEXT(countOf(response, "\r\n0\r\n\r\n") == 1, response.c_str());
    }
}

TEST(ResumedStream, BufferedErrorIsNotDeliveredAtTheTimeout)
{
    auto error = head("500 X", "Content-Length: 5\r\n") + "fault";
    auto response = play({ error }, { GatewayFixture::streamHead() }, "400");
    checkNoForeignBytes(response, error);
    CHECK_TRUE_TEXT(countOf(response, "\r\n0\r\n\r\n") == 0 && countOf(response, "<closed>") == 1, response.c_str());
}
