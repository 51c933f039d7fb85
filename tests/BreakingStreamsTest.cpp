// All streams of a node break at once, and their requests wait to be written to other upstreams.

#include "fakes/BreakingUpstream.h"
#include "fakes/GatewayFixture.h"
#include "fakes/UnreadUpstream.h"

#include <CppUTest/TestHarness.h>
#include <malloc.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(BreakingStreams)
{
    fakes::BreakingUpstream breaking;
    fakes::UnreadUpstream unread;
    fakes::UnreadUpstream otherUnread;
    GatewayFixture gateway;
    std::vector<base::FileDescriptor> clients;

    // Returns the number of bytes that the process has allocated; 0 with the allocator of a sanitizer.
    static size_t allocatedBytes()
    {
        auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    // A busy machine needs more time than the fixture's requests have.
    static std::string streamRequest(const std::string& body)
    {
        return "POST /stream/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Deadline-Ms: 20000\r\nRedwingseam-Key: key\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void beginStreams(size_t streamCount, size_t bodyBytes)
    {
        gateway.addUpstream("e1", "engines", breaking.address());
        for (size_t i = 0; i < streamCount; ++i) {
            clients.push_back(gateway.connectClient());
            GatewayFixture::write(clients.back(), streamRequest(std::to_string(i) + std::string(bodyBytes, 'x')));
        }
        CHECK_TRUE(breaking.readRequests(streamCount, bodyBytes));
        auto head = GatewayFixture::streamHead();
        breaking.respondToAll(head.replace(head.find("$ID"), 3, "a1") + GatewayFixture::event(1));
        for (const auto& client : clients)
            CHECK_TRUE(GatewayFixture::read(client, "data: e1").find("data: e1") != std::string::npos);
    }

    // Returns the largest number of allocated bytes seen in `duration`.
    static size_t mostAllocatedIn(std::chrono::milliseconds duration)
    {
        size_t most = 0;
        auto end = base::BootClock {}.now() + duration;
        while (base::BootClock {}.now() < end) {
            most = std::max(most, allocatedBytes());
            poll(nullptr, 0, 10);
        }
        return most;
    }
};

TEST(BreakingStreams, BodiesOfRunningStreamsAreHeldOnce)
{
    static constexpr size_t streamCount = 40;
    static constexpr size_t bodyBytes = 300 * 1000;
    auto before = allocatedBytes();
    beginStreams(streamCount, bodyBytes);
    auto whileRunning = allocatedBytes();
    auto figures = StringFromFormat("%zu bytes before, %zu while they run", before, whileRunning);
    CHECK_TRUE_TEXT(whileRunning < before + streamCount * bodyBytes * 3 / 2, figures.asCharString());
}

TEST(BreakingStreams, BodiesThatWaitToBeSentAgainAreHeldOnce)
{
    // More than the kernel takes of one.
    static constexpr size_t bodyBytes = 3900 * 1000;
    beginStreams(3, bodyBytes);
    gateway.addUpstream("e2", "engines", unread.address());
    gateway.addUpstream("e3", "engines", otherUnread.address());
    auto whileRunning = allocatedBytes();
    breaking.breakAll();
    auto most = mostAllocatedIn(std::chrono::milliseconds(1600));
    auto figures = StringFromFormat("%zu bytes while they run, at most %zu after", whileRunning, most);
    CHECK_TRUE_TEXT(most < whileRunning + bodyBytes / 4, figures.asCharString());
}

TEST(BreakingStreams, NewRequestIsRefusedAsNotRunWhileTheBudgetIsUsedUp)
{
    while (gateway.state.buffers.tryReserve(1000)) { }
    gateway.addUpstream("e1", "engines", breaking.address());
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", std::string(100 * 1000, 'x')));
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 503 "), response.c_str());
    CHECK_TRUE_TEXT(response.find("\r\nRetry-After: ") != std::string::npos, response.c_str());
}
