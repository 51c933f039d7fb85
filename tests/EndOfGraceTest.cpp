#include "fakes/GatewayFixture.h"
#include "fakes/ManualUpstream.h"
#include "gateway/GracefulStop.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::GatewayFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(EndOfGrace)
{
    fakes::GatewayFixture gateway;
    static constexpr base::Duration grace = seconds(8);

    static bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    // Sets the time that has passed since the stop began.
    void setStopAge(base::Duration age) { gateway.state.drainStartedAt = base::BootClock {}.now() - age; }

    static void checkRefused(const std::string& response)
    {
        CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 503 ") && contains(response, "Retry-After: 0.030\r\n") && contains(response, "Connection: close\r\n"), response.c_str());
    }

    static std::string withoutClose(std::string request) { return request.erase(request.find("Connection: close\r\n"), 19); }
};

TEST(EndOfGrace, LatestRequestHasItsExpectedDurationUntilTheProcessEnds)
{
    auto index = gateway.state.manifest.state().index;
    const auto* route = index->route("h", "/book/x");
    auto end = gateway.state.settings.terminationGrace - gateway::StopTimes {}.exitReserve;
    CHECK_TRUE(gateway.state.drain.latestStart(*route, {}) + std::min<base::Duration>(milliseconds(1000), route->timeout) <= end);
}

TEST(EndOfGrace, RequestThatWasNotRunAndWaitsForAnUpstreamIsRefused)
{
    fakes::FleetFixture fixture;
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
    CHECK_TRUE(exchange.attemptEnded(forward::AttemptOutcome::NotConnected, fixture.clock.now(), 1).kind == forward::StepKind::Wait);
    CHECK_TRUE(exchange.stopWaiting().kind == forward::StepKind::Refuse);
}

// Such a request could not end before the process does. It has not run, so another node can serve it.
TEST(EndOfGrace, LateRequestIsRefusedAtOnceAndReachesNoUpstream)
{
    fakes::ScriptedUpstream upstream({});
    gateway.addUpstream("d1", "desk", upstream);
    gateway.addUpstream("e1", "engines", upstream);
    const auto abandonAt = gateway::StopTimes { grace }.abandonAt();
    for (auto age : { abandonAt - milliseconds(900), abandonAt - milliseconds(100), abandonAt, abandonAt + milliseconds(100), grace }) {
        for (bool isAbandoning : { false, true }) {
            setStopAge(age);
            gateway.state.isAbandoningRequests = isAbandoning;
            checkRefused(gateway.exchange(GatewayFixture::post("/book/x", "b")));
            checkRefused(gateway.exchange(GatewayFixture::get("/read/x")));
            checkRefused(gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 8000,650\r\n")));
        }
    }
    LONGS_EQUAL(0, upstream.requests().size());
}

TEST(EndOfGrace, LateRequestOnAKeptConnectionIsRefusedAtOnce)
{
    fakes::ScriptedUpstream upstream({ { GatewayFixture::ok("ok") } });
    gateway.addUpstream("d1", "desk", upstream);
    auto client = gateway.connectClient();
    GatewayFixture::write(client, withoutClose(GatewayFixture::post("/book/x", "a")));
    CHECK_TRUE(contains(GatewayFixture::read(client, "\r\n\r\nok"), "\r\n\r\nok"));
    setStopAge(grace - milliseconds(600));
    GatewayFixture::write(client, withoutClose(GatewayFixture::post("/book/x", "b")) + withoutClose(GatewayFixture::post("/book/x", "c")));
    checkRefused(GatewayFixture::read(client, "<never>", 500));
    LONGS_EQUAL(1, upstream.requests().size());
}

TEST(EndOfGrace, RequestWhoseBodyEndsLateIsRefused)
{
    fakes::ScriptedUpstream upstream({});
    gateway.addUpstream("d1", "desk", upstream);
    auto client = gateway.connectClient();
    auto request = GatewayFixture::post("/book/x", "body");
    GatewayFixture::write(client, request.substr(0, request.size() - 2));
    poll(nullptr, 0, 50);
    setStopAge(grace - milliseconds(600));
    GatewayFixture::write(client, request.substr(request.size() - 2));
    checkRefused(GatewayFixture::read(client, "<never>", 500));
    LONGS_EQUAL(0, upstream.requests().size());
}

// It used to be sent to the next upstream, and was cut off there, so that it could not be repeated.
TEST(EndOfGrace, RequestThatAnUpstreamRefusesLateIsNotSentToAnother)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    for (const auto& request : { GatewayFixture::post("/book/x", "b"), GatewayFixture::get("/read/x"), GatewayFixture::post("/stream/x", "b", "Redwingseam-Token-Usage: 8000,650\r\n") }) {
        GatewayFixture node;
        fakes::ManualUpstream upstream;
        fakes::ScriptedUpstream other({});
        for (const char* service : { "desk", "engines" }) {
            node.addUpstream(std::string("near-") + service, service, upstream.address());
            node.addUpstream(std::string("far-") + service, service, other, "dc-b");
        }
        auto client = node.connectClient();
        GatewayFixture::write(client, request);
        CHECK_FALSE(upstream.acceptRequest().empty());
        node.state.drainStartedAt = base::BootClock {}.now() - (grace - milliseconds(600));
        upstream.respond(refusal);
        checkRefused(GatewayFixture::read(client, "<never>", 500));
        LONGS_EQUAL(0, other.requests().size());
        LONGS_EQUAL(0, node.state.activeSessions);
    }
}

// The rest used to be cut off with the process, although there was time to read it.
TEST(EndOfGrace, RequestThatIsReadInTheLastMomentIsRefused)
{
    fakes::ScriptedUpstream desk({});
    gateway::StopTimes times { milliseconds(2000), milliseconds(200), milliseconds(200), milliseconds(900) };
    auto node = std::make_unique<GatewayFixture>(times.grace);
    node->addUpstream("d1", "desk", desk);
    auto booking = node->connectClient();
    GatewayFixture::write(booking, GatewayFixture::post("/book/x", "a"));
    auto late = node->connectClient();
    auto request = GatewayFixture::post("/book/x", "body");
    GatewayFixture::write(late, request.substr(0, request.size() - 2));
    poll(nullptr, 0, 100);
    std::string answer;
    base::NamedThread client("client", [&] {
        poll(nullptr, 0, 1300);
        GatewayFixture::write(late, request.substr(request.size() - 2));
        answer = GatewayFixture::read(late, "<never>", 500);
    });
    gateway::GracefulStop(node->state, node->acceptor(), times).run();
    node.reset();
    client.join();
    checkRefused(answer);
    CHECK_TRUE(contains(GatewayFixture::read(booking, "OutcomeUnknown", 500), "HTTP/1.1 502 "));
    LONGS_EQUAL(1, desk.requests().size());
}

// Answers of such a route take longer than those of others, up to the objective in the ordinary case.
TEST(EndOfGrace, RequestOfASlowRouteIsTakenOnlyWhileItCanEnd)
{
    forward::DrainRule rule(seconds(7));
    manifest::Route route;
    route.kind = manifest::RouteKind::Idempotent;
    route.timeout = seconds(10);
    route.latencyObjective = seconds(3);
    CHECK_TRUE(rule.latestStart(route, {}) == seconds(4));
}

// If it is cut off, the client can't send it again. The load balancer still sends requests early in the grace.
TEST(EndOfGrace, RequestThatMayNotBeRepeatedHasItsWholeTimeoutOrHalfTheGrace)
{
    forward::DrainRule rule(seconds(7));
    manifest::Route route;
    route.kind = manifest::RouteKind::NonIdempotent;
    route.latencyObjective = milliseconds(400);
    route.timeout = milliseconds(1200);
    CHECK_TRUE(rule.latestStart(route, {}) == milliseconds(5800));
    route.timeout = seconds(25);
    CHECK_TRUE(rule.latestStart(route, {}) == milliseconds(3500));
}
