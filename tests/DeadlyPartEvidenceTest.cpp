#include "base/Hash.h"
#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FleetFixture;
using fakes::GatewayFixture;
using fakes::ScriptedUpstream;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(DeadlyPartEvidence) {
    static std::vector<base::PromptPartHash> partOf(const std::string& service) {
        return { { base::hashCombine(base::hashBytes("dead"), base::hashBytes(service)) } };
}

static void crash(GatewayFixture& gateway, const std::string& service, uint64_t number)
{
    auto now = base::BootClock {}.now();
    gateway.state.crashes.parts.recordCrash({ 0, { number }, { "x" + std::to_string(number) }, partOf(service), now - milliseconds(50), now }, now);
}
}
;

// An upstream rejects a malformed request before it reads the prompt.
TEST(DeadlyPartEvidence, RejectionByAnUpstreamDoesNotClearADeadlyPart)
{
    ScriptedUpstream upstream({ { "HTTP/1.1 400 Bad Request\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Length: 3\r\n\r\nbad" } });
    GatewayFixture gateway;
    gateway.addUpstream("d1", "desk", upstream);
    crash(gateway, "desk", 1);
    CHECK_TRUE(gateway.exchange(GatewayFixture::post("/book/x", "b", "Redwingseam-Prompt-Prefix: dead:7,cc:1\r\n")).find(" 400 ") != std::string::npos);
    base::BootClock clock;
    for (auto until = clock.now() + milliseconds(600); clock.now() < until;)
        poll(nullptr, 0, 50);
    crash(gateway, "desk", 2);
    CHECK_TRUE(gateway.state.crashes.parts.isQuarantined(partOf("desk")));
}

// A stream without length or chunks whose engine crashes before the first event.
TEST(DeadlyPartEvidence, StreamThatEndsWithoutAnEventDoesNotClearADeadlyPart)
{
    std::string head = "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    ScriptedUpstream upstream({ { head, true }, { head, true }, { head, true }, { head, true }, { head, true }, { head, true } });
    GatewayFixture gateway;
    gateway.addUpstream("e1", "engines", upstream);
    crash(gateway, "engines", 1);
    auto response = gateway.exchange(GatewayFixture::post("/stream/x", "b", "Redwingseam-Prompt-Prefix: dead:7,cc:1\r\n"));
    base::BootClock clock;
    for (auto until = clock.now() + milliseconds(600); clock.now() < until;)
        poll(nullptr, 0, 50);
    crash(gateway, "engines", 2);
    CHECK_TRUE(gateway.state.crashes.parts.isQuarantined(partOf("engines")));
}

TEST(DeadlyPartEvidence, RefusalOfABackupDoesNotSendAQuarantinedPartAgain)
{
    FleetFixture fixture;
    fixture.addEngines();
    auto request = fixture.makeRequest("/stream/x");
    request.promptParts = { { 100 }, { 200 } };
    forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto start = fixture.clock.now();
    CHECK_TRUE(exchange.begin(start, 1).kind == forward::StepKind::Send);
    forward::PartReports reports;
    for (uint64_t i = 0; i < 3; ++i)
        reports.crashes.push_back({ i + 1, { 500 + i }, { "x" + std::to_string(i) }, request.promptParts, start + milliseconds(200 * i), start + milliseconds(200 * i + 100) });
    fixture.crashes.parts.apply(reports, start);
    fixture.advance(milliseconds(1000));
    CHECK_TRUE(fixture.crashes.parts.isQuarantined(request.promptParts));
    CHECK_FALSE(exchange.backupRefused(fixture.clock.now(), 1).kind == forward::StepKind::Send);
}

// The clock of a machine counts from its boot, so a crash before the boot has a negative time.
TEST(DeadlyPartEvidence, MachineThatBootedAfterTheCrashesClearsAPartToo)
{
    forward::PartRegister parts;
    base::Instant now { seconds(10) };
    const std::vector<base::PromptPartHash> part { { 7 } };
    forward::PartReports reports;
    for (uint64_t i = 0; i < 3; ++i)
        reports.crashes.push_back({ i + 1, { i + 1 }, { "e" + std::to_string(i) }, part, now - seconds(100 - static_cast<int>(i)), now - seconds(99 - static_cast<int>(i)) });
    parts.apply(reports, now);
    CHECK_TRUE(parts.isQuarantined(part));
    now += seconds(60);
    CHECK_TRUE(parts.tryBeginTrial(part, now));
    parts.recordProgress(part, now + seconds(1));
    CHECK_FALSE(parts.isQuarantined(part));
}

// One account sends requests that crash upstreams by their body, and names a part of another account.
TEST(DeadlyPartEvidence, AccountCannotBlockAPartOfAnotherAccount)
{
    FleetFixture fixture;
    fixture.addEngines();
    for (int i = 0; i < 2; ++i) {
        auto hostile = fixture.makeRequest("/stream/x");
        hostile.client = { "hostile" };
        hostile.promptParts = { { 300 } };
        forward::Exchange exchange(hostile, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        CHECK_TRUE(exchange.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
        fixture.advance(milliseconds(1600));
        exchange.attemptEnded(forward::AttemptOutcome::LostDuringResponse, fixture.clock.now(), 1);
        fixture.advance(milliseconds(100));
    }
    auto victim = fixture.makeRequest("/stream/x");
    victim.client = { "victim" };
    victim.promptParts = { { 300 } };
    forward::Exchange exchange(victim, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 1).kind == forward::StepKind::Send);
}
