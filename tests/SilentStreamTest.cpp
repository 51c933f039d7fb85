// A stream's sound upstream falls silent for a second or so and goes on. What would take its place may fail at that time too.

#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"
#include "fakes/UnconnectableUpstream.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace redwingseam;
using fakes::GatewayFixture;
using std::chrono::milliseconds;

TEST_GROUP(SilentStream)
{
    GatewayFixture gateway;
    fakes::ManualUpstream silent;
    fakes::ManualUpstream other;
    base::FileDescriptor client;

    // Begins a stream at the upstream that falls silent then.
    void beginStream()
    {
        gateway.addUpstream("e1", "engines", silent.address());
        client = gateway.connectClient();
        GatewayFixture::write(client, GatewayFixture::get("/stream/x"));
        CHECK_FALSE(silent.acceptRequest().empty());
        silent.respond(GatewayFixture::streamHead() + GatewayFixture::event(1));
        GatewayFixture::read(client, "data: e1\n\n\r\n");
    }

    void checkGoesOn()
    {
        silent.respond(GatewayFixture::event(2) + "0\r\n\r\n");
        STRCMP_EQUAL((GatewayFixture::event(2) + "0\r\n\r\n").c_str(), GatewayFixture::read(client).c_str());
    }
};

// The probes fail and no connection to another upstream is established, so what fails is the node's own link.
TEST(SilentStream, AttemptGoesOnWhenNothingElseCanBeReached)
{
    fakes::UnconnectableUpstream unreachable;
    gateway.addUpstream("e2", "engines", unreachable.address(), "dc-b");
    beginStream();
    silent.stopListening();
    std::this_thread::sleep_for(milliseconds(1000));
    checkGoesOn();
}

TEST(SilentStream, AttemptGoesOnWhenTheOtherUpstreamRefuses)
{
    gateway.addUpstream("e2", "engines", other.address(), "dc-b");
    beginStream();
    silent.stopListening();
    // The first request asks for the copy of the run's memory.
    for (int i = 0; i < 2; ++i) {
        CHECK_FALSE(other.acceptRequest().empty());
        other.respond("HTTP/1.1 503 Service Unavailable\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    std::this_thread::sleep_for(milliseconds(500));
    checkGoesOn();
}

// The upstream accepts the probes' connections, and the other one the request.
TEST(SilentStream, ReachableUpstreamIsNotGivenUpForASecondOfSilence)
{
    gateway.addUpstream("e2", "engines", other.address(), "dc-b");
    beginStream();
    std::this_thread::sleep_for(milliseconds(1250));
    checkGoesOn();
}

// The first event decides. What the other attempt sends later reaches nobody.
TEST(SilentStream, OtherUpstreamsEventsWinIfTheyAreFirst)
{
    gateway.addUpstream("e2", "engines", other.address(), "dc-b");
    beginStream();
    silent.stopListening();
    CHECK_FALSE(other.acceptRequest().empty());
    other.respond(GatewayFixture::streamHead() + GatewayFixture::event(2));
    auto received = GatewayFixture::read(client, "data: e2\n\n\r\n");
    STRCMP_EQUAL(GatewayFixture::event(2).c_str(), received.c_str());
    silent.respond(GatewayFixture::event(2) + GatewayFixture::event(3));
    other.respond(GatewayFixture::event(3) + "0\r\n\r\n");
    STRCMP_EQUAL((GatewayFixture::event(3) + "0\r\n\r\n").c_str(), GatewayFixture::read(client).c_str());
}

// Both may run the request, but not for long.
TEST(SilentStream, SilentAttemptIsClosedSoonAfterTheOtherOneWasSent)
{
    gateway.addUpstream("e2", "engines", other.address(), "dc-b");
    beginStream();
    silent.stopListening();
    CHECK_FALSE(other.acceptRequest().empty());
    CHECK_FALSE(silent.isClosedWithin(milliseconds(50)));
    CHECK_TRUE(silent.isClosedWithin(milliseconds(300)));
}

// Neither the headers nor a comment of one response may come before the events of the other.
TEST(SilentStream, ResponsesOfTwoAttemptsAreNotMixed)
{
    gateway.addUpstream("e2", "engines", other.address(), "dc-b");
    gateway.addUpstream("e1", "engines", silent.address());
    client = gateway.connectClient();
    GatewayFixture::write(client, GatewayFixture::get("/stream/x"));
    CHECK_FALSE(silent.acceptRequest().empty());
    silent.stopListening();
    CHECK_FALSE(other.acceptRequest().empty());
    auto headers = [](const std::string& name) { return "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: " + name + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"; };
    other.respond(headers("other") + "3\r\n:\n\n\r\n");
    std::this_thread::sleep_for(milliseconds(50));
    silent.respond(headers("silent") + GatewayFixture::event(1) + "0\r\n\r\n");
    auto received = GatewayFixture::read(client);
    CHECK_TRUE(received.find("Redwingseam-Upstream-Seal: silent") != std::string::npos);
    CHECK_TRUE(received.find("other") == std::string::npos);
    CHECK_TRUE(received.ends_with("\r\n\r\n" + GatewayFixture::event(1) + "0\r\n\r\n"));
}
