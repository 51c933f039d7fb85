// Bodies of requests: what they take follows what has arrived, and equal ones hash alike.

#include "http/RequestBody.h"
#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>
#include <numeric>

using namespace redwingseam;
using fakes::GatewayFixture;
using gateway::BufferUse;
using http::RequestBody;

TEST_GROUP(RequestBody)
{
    static constexpr size_t largest = 4 * 1024 * 1024;
    // Beyond what has arrived, no more than a block.
    static constexpr size_t blockBytes = 16 * 1024;

    static std::string content(size_t size)
    {
        std::string text(size, '\0');
        std::iota(text.begin(), text.end(), '\0');
        return text;
    }

    static RequestBody arrivedInPieces(const std::string& text, size_t pieceBytes)
    {
        RequestBody body;
        for (size_t begin = 0; begin < text.size(); begin += pieceBytes)
            body.append(std::string_view(text).substr(begin, pieceBytes));
        return body;
    }
};

TEST(RequestBody, KeepsWhatArrived)
{
    auto text = content(100000);
    auto body = arrivedInPieces(text, 777);
    std::string joined;
    for (const auto& block : body.blocks())
        joined += block;
    CHECK_TRUE(joined == text);
    CHECK_TRUE(body.text() == text);
    LONGS_EQUAL(text.size(), body.size());
}

TEST(RequestBody, HashDoesNotDependOnHowItArrived)
{
    for (size_t size : { 0, 1, 15, 4096, 4097, 8191, 50000 }) {
        auto text = content(size);
        RequestBody announced;
        announced.expect(size);
        announced.append(text);
        LONGS_EQUAL(announced.hash(7), arrivedInPieces(text, 1000).hash(7));
        CHECK_FALSE(announced.hash(7) == arrivedInPieces(text + "x", 1000).hash(7));
    }
}

TEST(RequestBody, AnnouncedLengthTakesNoMemory)
{
    RequestBody body;
    body.expect(largest);
    LONGS_EQUAL(0, body.allocatedBytes());
    for (size_t arrived = 1000; arrived < largest / 2; arrived += 1000) {
        body.append(std::string(1000, 'x'));
        CHECK_TRUE(body.allocatedBytes() >= body.size() && body.allocatedBytes() <= body.size() + blockBytes);
    }
}

TEST(RequestBody, SmallBodyTakesNoMoreThanItsLength)
{
    RequestBody body;
    body.expect(800);
    body.append(std::string(100, 'x'));
    LONGS_EQUAL(800, body.allocatedBytes());
}

TEST(RequestBody, BodyThatArrivesIsCountedAsItIsHeld)
{
    GatewayFixture gateway;
    auto client = gateway.connectClient();
    GatewayFixture::write(client, "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Key: key\r\nContent-Length: 1000000\r\n\r\n" + std::string(100000, 'x'));
    auto& budget = gateway.state.buffers;
    for (int i = 0; i < 300 && budget.usedBytes(BufferUse::Request) < 100000; ++i)
        poll(nullptr, 0, 10);
    CHECK_TRUE(budget.usedBytes(BufferUse::Request) >= 100000 && budget.usedBytes(BufferUse::Request) <= 100000 + blockBytes);
}

TEST(RequestBody, LargeBodyIsForwardedUnchanged)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("whole") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto text = content(1000000);
    auto answer = gateway.exchange(GatewayFixture::post("/book/x", text));
    CHECK_TRUE_TEXT(answer.find("\r\n\r\nwhole") != std::string::npos, answer.c_str());
    LONGS_EQUAL(1, upstream.requests().size());
    CHECK_TRUE(upstream.requests().front().ends_with(text));
}
