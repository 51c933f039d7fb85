// What clients make a gateway hold: it is counted at its real cost, and large requests do not crowd out ordinary ones.

#include "base/MemoryLimit.h"
#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"
#include "gateway/HeadCost.h"
#include "gateway/HeaderUtils.h"
#include "platform/BootSettings.h"

#include <CppUTest/TestHarness.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <malloc.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using gateway::BufferUse;

TEST_GROUP(ClientMemory)
{
    static constexpr size_t headBytes = 15600;

    static std::string lines(const std::string& line, size_t bytes = headBytes)
    {
        std::string text;
        while (text.size() + line.size() <= bytes)
            text += line;
        return text;
    }

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    // Lets all uses together take `bytes` more.
    static size_t leaveOnly(gateway::BufferBudget & budget, BufferUse use, size_t bytes)
    {
        auto taken = budget.limitBytes(use) - budget.usedBytes() - bytes;
        CHECK_TRUE(budget.tryReserve(taken, use));
        return taken;
    }

    static void waitFor(const std::function<bool()>& condition)
    {
        for (int i = 0; i < 300 && !condition(); ++i)
            poll(nullptr, 0, 10);
        CHECK_TRUE(condition());
    }
};

#ifndef __SANITIZE_ADDRESS__
TEST(ClientMemory, HeadersAreCountedAtTheirRealCost)
{
    namespace http = boost::beast::http;
    for (const char* line : { "a:b\r\n", "a:\r\n", "name: value of a usual size\r\n", "a-name: a value that is as long as those of tokens, which have more than a hundred characters, and so on\r\n" }) {
        auto text = "GET /read/x HTTP/1.1\r\n" + lines(line) + "\r\n";
        auto before = mallinfo2().uordblks;
        auto parser = std::make_unique<http::request_parser<http::string_body>>();
        boost::beast::error_code error;
        parser->header_limit(32 * 1024);
        parser->put(boost::asio::buffer(text), error);
        CHECK_TRUE(parser->is_header_done());
        auto forwarded = gateway::serializeHeaders(parser->get());
        auto actual = static_cast<double>(mallinfo2().uordblks - before);
        size_t count = 0;
        size_t bytes = 0;
        for (const auto& field : parser->get()) {
            ++count;
            bytes += field.name_string().size() + field.value().size();
        }
        auto counted = static_cast<double>(gateway::headCost(bytes, count));
        CHECK_TRUE_TEXT(counted >= 0.75 * actual && counted <= 1.25 * actual, (std::string(line) + std::to_string(counted) + " of " + std::to_string(actual)).c_str());
    }
}
#endif

TEST(ClientMemory, SingleLargeHeadIsServed)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("whole") } });
    gateway.addUpstream("d1", "desk", upstream);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::get("/read/x", lines("a:b\r\n"))), "\r\n\r\nwhole"));
    waitFor([&] { return !gateway.state.buffers.usedBytes(); });
}

TEST(ClientMemory, HeadThatArrivesInPiecesIsServed)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("whole") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto client = gateway.connectClient();
    auto request = GatewayFixture::get("/read/x", "x: y\r\n");
    for (char byte : request) {
        GatewayFixture::write(client, std::string(1, byte));
        if (byte == '\r' || byte == '\n')
            poll(nullptr, 0, 1);
    }
    CHECK_TRUE(contains(GatewayFixture::read(client, "whole"), "\r\n\r\nwhole"));
}

TEST(ClientMemory, LargeHeadIsRefusedAsNotRunBeforeAnOrdinaryOne)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("whole") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto& budget = gateway.state.buffers;
    auto taken = leaveOnly(budget, BufferUse::Head, 0);
    auto refused = gateway.exchange(GatewayFixture::get("/read/x", lines("a:b\r\n")));
    CHECK_TRUE_TEXT(refused.starts_with("HTTP/1.1 503 "), refused.c_str());
    CHECK_TRUE_TEXT(contains(refused, "BuffersExhausted") && contains(refused, "Retry-After: "), refused.c_str());
    LONGS_EQUAL(0, upstream.requests().size());
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::get("/read/x")), "\r\n\r\nwhole"));
    budget.release(taken, BufferUse::Head);
}

TEST(ClientMemory, StalledRequestThatHoldsMoreIsRefusedForAnother)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("whole") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto& budget = gateway.state.buffers;
    auto stalled = gateway.connectClient();
    GatewayFixture::write(stalled, "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Key: key\r\nContent-Length: 100\r\n" + lines("a:b\r\n") + "\r\n");
    waitFor([&] { return budget.usedBytes(BufferUse::Head) > 100 * 1024; });
    auto taken = leaveOnly(budget, BufferUse::Head, 8 * 1024);
    // Shorter than this it may still make progress.
    poll(nullptr, 0, 700);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::get("/read/x", lines("name: value of a usual size\r\n"))), "\r\n\r\nwhole"));
    auto refused = GatewayFixture::read(stalled, "BuffersExhausted");
    CHECK_TRUE_TEXT(refused.starts_with("HTTP/1.1 503 "), refused.c_str());
    budget.release(taken, BufferUse::Head);
}

TEST(ClientMemory, SlowRequestThatHoldsMoreIsRefusedForAnother)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("whole") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto& budget = gateway.state.buffers;
    auto slow = gateway.connectClient();
    GatewayFixture::write(slow, "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Key: key\r\nContent-Length: 300000\r\n\r\n" + std::string(200000, 'x'));
    waitFor([&] { return budget.usedBytes(BufferUse::Request) >= 200000; });
    auto taken = leaveOnly(budget, BufferUse::Request, 0);
    for (int i = 0; i < 15; ++i) {
        GatewayFixture::write(slow, "x");
        poll(nullptr, 0, 100);
    }
    auto asking = gateway.connectClient();
    GatewayFixture::write(asking, "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a2\r\nRedwingseam-Deadline-Ms: 2500\r\nRedwingseam-Key: key\r\nContent-Length: 100000\r\n\r\n");
    poll(nullptr, 0, 50);
    GatewayFixture::write(asking, std::string(100000, 'x'));
    auto answer = GatewayFixture::read(asking, "whole");
    CHECK_TRUE_TEXT(contains(answer, "\r\n\r\nwhole"), answer.c_str());
    auto refused = GatewayFixture::read(slow, "BuffersExhausted");
    CHECK_TRUE_TEXT(refused.starts_with("HTTP/1.1 503 "), refused.c_str());
    budget.release(taken, BufferUse::Request);
}

TEST(ClientMemory, ClientWhoseInputSlowsDownIsStalled)
{
    using std::chrono::milliseconds;
    gateway::TransferProgress progress;
    base::Instant start { std::chrono::seconds(1) };
    progress.reset(start);
    for (int i = 0; i < 20; ++i) {
        progress.record(1000, start + milliseconds(100 * i));
        CHECK_FALSE(progress.isStalled(start + milliseconds(100 * i)));
    }
    auto last = start + milliseconds(1900);
    CHECK_FALSE(progress.isStalled(last + milliseconds(300)));
    CHECK_TRUE(progress.isStalled(last + milliseconds(500)));
    for (int i = 1; i <= 20; ++i)
        progress.record(1, last + milliseconds(100 * i));
    CHECK_TRUE(progress.isStalled(last + milliseconds(2000)));
    progress.reset(last + milliseconds(2000));
    CHECK_FALSE(progress.isStalled(last + milliseconds(2100)));
}

TEST(ClientMemory, RequestsAreNotReadAheadWithoutMemory)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("first") }, { GatewayFixture::ok("second") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto& budget = gateway.state.buffers;
    auto taken = leaveOnly(budget, BufferUse::ReadAhead, 0);
    auto client = gateway.connectClient();
    auto kept = "GET /read/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Deadline-Ms: 2500\r\nRedwingseam-Key: key\r\n\r\n";
    GatewayFixture::write(client, kept);
    poll(nullptr, 0, 5);
    GatewayFixture::write(client, kept);
    CHECK_TRUE(contains(GatewayFixture::read(client, "second"), "second"));
    LONGS_EQUAL(0, budget.usedBytes(BufferUse::ReadAhead) - taken);
    budget.release(taken, BufferUse::ReadAhead);
}

TEST(ClientMemory, MuchThatIsSentAheadWithoutMemoryIsDiscarded)
{
    GatewayFixture gateway;
    fakes::ManualUpstream upstream;
    gateway.addUpstream("d1", "desk", upstream.address());
    auto& budget = gateway.state.buffers;
    auto taken = leaveOnly(budget, BufferUse::ReadAhead, 0);
    auto client = gateway.connectClient();
    std::string request = "GET /read/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Deadline-Ms: 2500\r\nRedwingseam-Key: key\r\n\r\n";
    GatewayFixture::write(client, request);
    CHECK_TRUE(contains(upstream.acceptRequest(), "a1"));
    std::string ahead;
    while (ahead.size() < 60000)
        ahead += request;
    GatewayFixture::write(client, ahead);
    poll(nullptr, 0, 400);
    upstream.respond("HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 5\r\n\r\nfirst");
    auto received = GatewayFixture::read(client, "<never>");
    CHECK_TRUE_TEXT(contains(received, "first") && contains(received, "<closed>"), received.c_str());
    LONGS_EQUAL(0, upstream.readRest());
    budget.release(taken, BufferUse::ReadAhead);
}

TEST(ClientMemory, BuffersFollowTheMemoryOfTheMachine)
{
    static constexpr size_t mebibyte = 1024 * 1024;
    LONGS_EQUAL(22 * mebibyte, base::bufferBytesFor(88 * mebibyte));
    LONGS_EQUAL(8 * mebibyte, base::bufferBytesFor(16 * mebibyte));
    LONGS_EQUAL(256 * mebibyte, base::bufferBytesFor(size_t { 64 } * 1024 * mebibyte));
    CHECK_TRUE(base::detectedMemoryBytes() > 8 * mebibyte);
}

TEST(ClientMemory, OrdinaryRequestIsCountedAndAlwaysServed)
{
    GatewayFixture gateway;
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("whole") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto& budget = gateway.state.buffers;
    auto taken = leaveOnly(budget, BufferUse::Response, 64 * 1024);
    auto waiting = gateway.connectClient();
    GatewayFixture::write(waiting, "POST /book/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Key: key\r\nContent-Length: 800\r\n\r\n" + std::string(700, 'x'));
    waitFor([&] { return budget.usedBytes(BufferUse::Request) == 800; });
    CHECK_TRUE(budget.usedBytes(BufferUse::Head) > 300);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", std::string(800, 'x'))), "\r\n\r\nwhole"));
    budget.release(taken, BufferUse::Response);
}

TEST(ClientMemory, UsesThatCanBePutOffGetLess)
{
    gateway::BufferBudget budget(800);
    CHECK_TRUE(budget.tryReserve(400, BufferUse::ReadAhead));
    CHECK_FALSE(budget.tryReserve(1, BufferUse::UnreadResponse));
    CHECK_TRUE(budget.tryReserve(100, BufferUse::Head));
    CHECK_FALSE(budget.tryReserve(1, BufferUse::Head));
    CHECK_TRUE(budget.tryReserve(200, BufferUse::Request));
    CHECK_FALSE(budget.tryReserve(1, BufferUse::Request));
    CHECK_TRUE(budget.tryReserve(100, BufferUse::Response));
    CHECK_FALSE(budget.tryReserve(1, BufferUse::Response));
    LONGS_EQUAL(100, budget.usedBytes(BufferUse::Head));
    LONGS_EQUAL(800, budget.usedBytes());
}
