#include "fakes/FleetFixture.h"
#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace redwingseam;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;
using forward::AttemptOutcome;
using forward::StepKind;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

TEST_GROUP(DeferredUpstream)
{
    fakes::FleetFixture fixture;

    base::Instant now() const { return fixture.clock.now(); }

    std::string target(uint64_t random = 1)
    {
        fleet::PlacementQuery query;
        query.service.text = "desk";
        query.random = random;
        query.now = now();
        auto placement = fixture.fleet.place(query);
        if (!placement)
            return {};
        fixture.fleet.release(*placement);
        return placement->target.id.text;
    }

    bool isUsed(const std::string& id)
    {
        for (uint64_t random = 0; random < 20; ++random) {
            if (target(random) == id)
                return true;
        }
        return false;
    }

    void addTwoDesks()
    {
        fixture.addUpstream("d1", "desk", "dc-a", 5);
        fixture.addUpstream("d2", "desk", "dc-a", 5);
        fixture.update();
    }

    static std::string turnedAway(const std::string& retryAfter)
    {
        return "HTTP/1.1 503 X\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: " + retryAfter + "\r\n\r\n";
    }

    // Returns how long the gateway leaves an upstream alone that has answered 503 with this Retry-After.
    static base::Duration waitAfter(const std::string& retryAfter)
    {
        GatewayFixture gateway;
        ScriptedUpstream busy({ { turnedAway(retryAfter) } });
        gateway.addUpstream("d1", "desk", busy);
        auto before = base::BootClock {}.now();
        gateway.exchange(GatewayFixture::post("/book/x", "b"));
        auto until = gateway.state.fleet.entries().front().refusal.deferredUntil;
        return until == base::Instant {} ? base::Duration {} : until - before;
    }
};

TEST(DeferredUpstream, GetsNoRequestUntilItsTimeHasPassed)
{
    addTwoDesks();
    fixture.fleet.deferRequests(fixture.instances[0], seconds(8), now());
    for (int second = 0; second < 8; ++second) {
        // None of these ends it, as they end suspicions.
        fixture.fleet.recordContact(fixture.instances[0], now());
        fixture.fleet.clearSuspicion(fixture.instances[0]);
        fixture.update();
        CHECK_FALSE(isUsed("d1"));
        fixture.advance(seconds(1));
    }
    CHECK_TRUE(isUsed("d1"));
}

TEST(DeferredUpstream, IsNoLastResort)
{
    addTwoDesks();
    fixture.fleet.deferRequests(fixture.instances[0], seconds(8), now());
    fixture.fleet.suspect(fixture.instances[1], fleet::SuspicionCause::Unreachable, now());
    STRCMP_EQUAL("d2", target().c_str());
}

// Answers on different connections overtake each other, and the upstream counts each statement to its end.
TEST(DeferredUpstream, LaterStatementExtendsTheTimeAndDoesNotShortenIt)
{
    addTwoDesks();
    fixture.fleet.deferRequests(fixture.instances[0], seconds(8), now());
    fixture.fleet.deferRequests(fixture.instances[0], seconds(1), now());
    fixture.advance(seconds(7));
    CHECK_FALSE(isUsed("d1"));
    fixture.fleet.deferRequests(fixture.instances[0], seconds(4), now());
    fixture.advance(seconds(3));
    CHECK_FALSE(isUsed("d1"));
    fixture.advance(seconds(1));
    CHECK_TRUE(isUsed("d1"));
}

TEST(DeferredUpstream, EntryThatComesBackKeepsItsTimeAndARestartEndsIt)
{
    addTwoDesks();
    fixture.fleet.deferRequests(fixture.instances[0], seconds(8), now());
    auto both = fixture.instances;
    fixture.instances.erase(fixture.instances.begin());
    fixture.update();
    fixture.advance(seconds(1));
    fixture.instances = both;
    fixture.update();
    CHECK_FALSE(isUsed("d1"));
    fixture.instances[0].incarnation = 6;
    fixture.update();
    CHECK_TRUE(isUsed("d1"));
}

// The callers return after the first upstream is free, and not together.
TEST(DeferredUpstream, RequestIsRefusedAtOnceUntilTheFirstUpstreamIsFree)
{
    fixture.addUpstream("e1", "engines", "dc-a");
    fixture.addUpstream("e2", "engines", "dc-a");
    fixture.update();
    fixture.fleet.deferRequests(fixture.instances[0], seconds(3), now());
    fixture.fleet.deferRequests(fixture.instances[1], seconds(9), now());
    std::set<base::Duration> waits;
    for (uint64_t random = 0; random < 50; ++random) {
        forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange.begin(now(), random * 131);
        CHECK_TRUE(step.kind == StepKind::Refuse && step.code == base::ResultCode::QueueFull);
        CHECK_TRUE(step.retryAfter >= seconds(3) && step.retryAfter <= seconds(6));
        waits.insert(step.retryAfter);
    }
    CHECK_TRUE(waits.size() >= 40);
}

// A time that ends while the request may wait anyway is waited for.
TEST(DeferredUpstream, RequestWaitsForATimeThatEndsSoon)
{
    fixture.addUpstream("d1", "desk", "dc-a");
    fixture.update();
    fixture.fleet.deferRequests(fixture.instances[0], milliseconds(30), now());
    forward::Exchange exchange(fixture.makeRequest("/book/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(now(), 1).kind == StepKind::Wait);
    fixture.advance(milliseconds(30));
    CHECK_TRUE(exchange.tick(now(), 1).kind == StepKind::Send);
}

// One upstream turned the request away and wants none; the other one broke.
TEST(DeferredUpstream, RequestThatMayHaveRunIsNotRefused)
{
    addTwoDesks();
    forward::Exchange exchange(fixture.makeRequest("/read/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(now(), 1);
    for (const auto& instance : fixture.instances)
        fixture.fleet.deferRequests(instance, seconds(5), now());
    auto step = exchange.attemptEnded(AttemptOutcome::LostBeforeResponse, now(), 1);
    while (step.kind == StepKind::Wait) {
        fixture.advance(milliseconds(20));
        step = exchange.tick(now(), 1);
    }
    CHECK_TRUE(step.kind == StepKind::Fail);
}

TEST(DeferredUpstream, RefusedStreamIsNotSentToItAgainWithoutItsBackup)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto first = exchange.begin(now(), 1).send.placement;
    fixture.fleet.deferRequests(first.target, seconds(5), now());
    auto step = exchange.backupRefused(now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send && step.send.placement.target.id != first.target.id);
}

TEST(DeferredUpstream, RetryAfterIsReadAsSecondsAndBounded)
{
    auto isAbout = [](base::Duration wait, base::Duration expected) { return wait >= expected && wait < expected + milliseconds(500); };
    CHECK_TRUE(isAbout(waitAfter("7"), seconds(7)));
    CHECK_TRUE(isAbout(waitAfter("2.25"), milliseconds(2250)));
    // A wait of hours is more likely a mistake than what the upstream needs.
    for (const char* absurd : { "99999999", "99999999999999999999999999" })
        CHECK_TRUE(isAbout(waitAfter(absurd), minutes(10)));
    for (const char* unreadable : { "Fri, 31 Dec 1999 23:59:59 GMT", "-5", "soon", "1e9", ".5", "3.", "nan" })
        CHECK_TRUE_TEXT(waitAfter(unreadable) == base::Duration {}, unreadable);
}

// The upstream goes on to serve what it has and answers on other connections.
TEST(DeferredUpstream, NoRequestFollowsA503WithRetryAfter)
{
    GatewayFixture gateway;
    ScriptedUpstream busy({ { turnedAway("30") }, { GatewayFixture::ok("busy") }, { GatewayFixture::ok("busy") } });
    gateway.addUpstream("d1", "desk", busy);
    auto refused = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE_TEXT(contains(refused, "HTTP/1.1 503 ") && contains(refused, "Retry-After: "), refused.c_str());
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "HTTP/1.1 503 "));
    ScriptedUpstream free(std::vector<fakes::ScriptedResponse>(4, { GatewayFixture::ok("free") }));
    gateway.addUpstream("d2", "desk", free, "dc-b");
    // Longer than an upstream is spared because it was full.
    poll(nullptr, 0, 200);
    for (int i = 0; i < 4; ++i)
        CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\nfree"));
    LONGS_EQUAL(1, busy.requests().size());
}
