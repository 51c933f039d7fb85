// An idempotent request is silent past its share of the objective, and its upstream answers long before the deadline.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"
#include "fakes/RefusingUpstream.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;

TEST_GROUP(SlowRead)
{
    // Past the objective of the route, 400 ms, and well before its timeout, 1200 ms.
    static constexpr int responseAfterMs = 600;

    GatewayFixture gateway;
    fakes::ManualUpstream upstream;
    fakes::RefusingUpstream crashed;
    fakes::ManualUpstream other;

    base::FileDescriptor beginRequest()
    {
        gateway.addUpstream("d1", "desk", upstream.address());
        auto client = gateway.connectClient();
        GatewayFixture::write(client, GatewayFixture::get("/read/x"));
        CHECK_FALSE(upstream.acceptRequest().empty());
        return client;
    }

    // Begins a request and waits until it is sent to another upstream too.
    base::FileDescriptor beginAtBoth()
    {
        auto client = beginRequest();
        gateway.addUpstream("d2", "desk", other.address());
        CHECK_FALSE(other.acceptRequest().empty());
        return client;
    }

    static std::string answer(const std::string& status, const std::string& seal, const std::string& body, const std::string& extraHeaders = {})
    {
        return "HTTP/1.1 " + status + "\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: " + seal + "\r\n" + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // Checks that the client gets the response of the upstream with that seal and no byte of another.
    static void checkAnswered(const base::FileDescriptor& client, const std::string& seal, const std::string& body)
    {
        auto response = GatewayFixture::read(client, body);
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 200 OK"), response.substr(0, 300).c_str());
        CHECK_TRUE_TEXT(response.find("Redwingseam-Upstream-Seal: " + seal + "\r\n") != std::string::npos, response.substr(0, 300).c_str());
        CHECK_TRUE(response.ends_with("\r\n\r\n" + body));
    }

    void checkServed(const base::FileDescriptor& client)
    {
        poll(nullptr, 0, responseAfterMs);
        upstream.respond(GatewayFixture::ok("late"));
        auto response = GatewayFixture::read(client, "late");
        CHECK_TRUE_TEXT(response.find("200 OK") != std::string::npos, response.substr(0, 300).c_str());
    }
};

TEST(SlowRead, ResponseIsDeliveredWhenThereIsNoOtherUpstream)
{
    checkServed(beginRequest());
}

TEST(SlowRead, ResponseIsDeliveredWhenNoOtherUpstreamIsReached)
{
    auto client = beginRequest();
    gateway.addUpstream("d2", "desk", crashed.address());
    checkServed(client);
}

TEST(SlowRead, ResponseIsDeliveredWhenTheOtherUpstreamRefuses)
{
    auto client = beginAtBoth();
    other.respond(answer("503 Service Unavailable", "other", "", "Redwingseam-Not-Executed: 1\r\n"));
    poll(nullptr, 0, 100);
    upstream.respond(answer("200 OK", "late", "whole"));
    checkAnswered(client, "late", "whole");
}

TEST(SlowRead, ResponseIsDeliveredWhenTheOtherUpstreamFails)
{
    auto client = beginAtBoth();
    other.respond(answer("500 Internal Server Error", "other", "broken"));
    poll(nullptr, 0, 100);
    upstream.respond(answer("200 OK", "late", "whole"));
    checkAnswered(client, "late", "whole");
}

TEST(SlowRead, FirstCompleteResponseIsTheOtherUpstreams)
{
    auto client = beginAtBoth();
    other.respond(answer("200 OK", "other", "first"));
    checkAnswered(client, "other", "first");
    CHECK_TRUE(upstream.isClosedWithin(std::chrono::milliseconds(300)));
}

TEST(SlowRead, FirstCompleteResponseIsThatOfTheLateUpstream)
{
    auto client = beginAtBoth();
    upstream.respond(answer("200 OK", "late", "first"));
    checkAnswered(client, "late", "first");
    CHECK_TRUE(other.isClosedWithin(std::chrono::milliseconds(300)));
}

// The other upstream has begun its response, and the late one completes its own first.
TEST(SlowRead, ResponsesOfTwoAttemptsAreNotMixed)
{
    auto client = beginAtBoth();
    auto cut = answer("200 OK", "other", "other's");
    other.respond(cut.substr(0, cut.size() - 3));
    poll(nullptr, 0, 100);
    auto late = answer("200 OK", "late", "whole");
    upstream.respond(late.substr(0, late.size() - 2));
    poll(nullptr, 0, 20);
    upstream.respond(late.substr(late.size() - 2));
    checkAnswered(client, "late", "whole");
}

TEST(SlowRead, FailureOfTheLateUpstreamDoesNotEndTheOtherAttempt)
{
    auto client = beginAtBoth();
    upstream.respond(answer("500 Internal Server Error", "late", "broken"));
    poll(nullptr, 0, 100);
    other.respond(answer("200 OK", "other", "whole"));
    checkAnswered(client, "other", "whole");
}
