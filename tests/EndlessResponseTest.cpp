#include "fakes/EndlessUpstream.h"
#include "fakes/RecordingUpstreamEvents.h"
#include "fakes/ScriptedUpstream.h"
#include "http/UpstreamClient.h"
#include "platform/StoreApi.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::EndlessUpstream;
using fakes::ScriptedResponse;
using fakes::ScriptedUpstream;

// Guards against memory that is used up by responses without end: upstreams of the daemon and the store that send bytes until
// the connection is closed. Each transfer must be broken off after a bounded number of bytes.
TEST_GROUP(EndlessResponse)
{
    struct EndlessBytes {
        const char* name;
        std::string prefix;
        std::string pattern;
    };

    // Cover the limit of a head, and of a body of an upstream and of the store, and what socket buffers hold.
    static constexpr uint64_t maxHeadBytes = 16 * 1024 * 1024;
    static constexpr uint64_t maxUpstreamBytes = 24 * 1024 * 1024;
    static constexpr uint64_t maxStoreBytes = 48 * 1024 * 1024;

    static std::vector<EndlessBytes> heads()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        return {
            { "header line", ok + "X: ", "a" },
            { "header lines", ok, "X: a\r\n" },
            { "short header lines", ok, "X:\r\n" },
            { "status line", "HTTP/1.1 200 ", "O" },
            { "interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n" },
            { "trailers", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: a\r\n" },
            { "chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0" },
        };
    }
    static std::vector<EndlessBytes> bodies()
    {
        const std::string ok = "HTTP/1.1 200 OK\r\n";
        return {
            { "body without length", ok + "\r\n", "abcd" },
            { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, 'a') + "\r\n" },
            { "body of a large length", ok + "Content-Length: 999999999999\r\n\r\n", "abcd" },
            { "error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "abcd" },
        };
    }

    // Calls the upstream and waits until the attempt has ended or the upstream has sent too much.
    static void checkCall(const EndlessBytes& endless, uint64_t maxBytes)
    {
        EndlessUpstream upstream(endless.prefix, endless.pattern);
        fakes::RecordingUpstreamEvents events;
        http::UpstreamClient<fakes::RecordingUpstreamEvents> client(events);
        node::CallService call;
        call.request.value = 1;
        call.upstream.url = "http://" + upstream.address();
        call.body = "b";
        client.call(call);
        while (events.ends().empty() && upstream.sentBytes() < maxBytes)
            poll(nullptr, 0, 1);
        CHECK_TRUE_TEXT(upstream.sentBytes() < maxBytes, endless.name);
        // The service may have run.
        CHECK_TRUE_TEXT(events.ends().at(0).end == node::AttemptEnd::Lost, endless.name);
    }

    static void checkStore(const EndlessBytes& endless, uint64_t maxBytes)
    {
        EndlessUpstream server(endless.prefix, endless.pattern);
        platform::StoreApi store(http::parseSocketAddress(server.address()).value(), std::chrono::milliseconds(500));
        CHECK_FALSE_TEXT(store.listUpstreams().has_value(), endless.name);
        CHECK_TRUE_TEXT(server.sentBytes() < maxBytes, endless.name);
    }
};

TEST(EndlessResponse, HeadOfAnUpstreamIsBrokenOff)
{
    for (const auto& endless : heads())
        checkCall(endless, maxHeadBytes);
}

TEST(EndlessResponse, BodyOfAnUpstreamIsBrokenOff)
{
    for (const auto& endless : bodies())
        checkCall(endless, maxUpstreamBytes);
}

TEST(EndlessResponse, HeadOfTheStoreIsBrokenOff)
{
    for (const auto& endless : heads())
        checkStore(endless, maxHeadBytes);
}

TEST(EndlessResponse, BodyOfTheStoreIsBrokenOff)
{
    for (const auto& endless : bodies())
        checkStore(endless, maxStoreBytes);
}

// The bodies of all calls together are bounded too.
TEST(EndlessResponse, BodiesThatStopShortAreBoundedTogether)
{
    static constexpr size_t calls = 12;
    static constexpr size_t bodyBytes = 7'900'000;
    static constexpr size_t maxBufferedBytes = 64 * 1024 * 1024;
    ScriptedUpstream upstream(std::vector<ScriptedResponse>(calls, { "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + std::string(bodyBytes, 'a') }));
    fakes::RecordingUpstreamEvents events;
    http::UpstreamClient<fakes::RecordingUpstreamEvents> client(events);
    for (uint64_t i = 1; i <= calls; ++i) {
        node::CallService call;
        // All on one thread of the client.
        call.request.value = 2 * i;
        call.upstream.url = "http://" + upstream.address();
        call.body = "b";
        client.call(call);
    }
    auto lost = calls - maxBufferedBytes / bodyBytes;
    auto ends = events.waitForEnds(lost);
    LONGS_EQUAL(lost, ends.size());
    for (const auto& ended : ends)
        CHECK_TRUE(ended.end == node::AttemptEnd::Lost);
}
