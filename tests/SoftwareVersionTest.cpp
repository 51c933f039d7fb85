// Upstreams of two software versions serve side by side. What they write doesn't fit together, so a stream goes on only at
// the version that began it.

#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;
using fakes::FleetFixture;
using fakes::GatewayFixture;
using fakes::ScriptedResponse;
using fakes::ScriptedUpstream;

static ScriptedResponse brokenAfter(unsigned event)
{
    return { GatewayFixture::streamHead() + GatewayFixture::event(event), true };
}

static ScriptedResponse wholeWith(unsigned event)
{
    return { GatewayFixture::streamHead() + GatewayFixture::event(event) + "0\r\n\r\n" };
}

static std::string takeUp(unsigned lastEvent, const std::string& begunBy)
{
    return "GET /stream/x HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a2\r\nRedwingseam-Deadline-Ms: 25000\r\nRedwingseam-Key: key\r\nConnection: close\r\nLast-Event-Id: " + std::to_string(lastEvent) + "\r\nResumes: " + begunBy + "\r\n\r\n";
}

static forward::ExchangeRequest takenUp(const FleetFixture& fixture, const std::string& begunBy)
{
    auto request = fixture.makeRequest("/stream/x");
    request.attempt.text = "a2";
    request.resumedAttempt.text = begunBy;
    request.lastEventId = 1;
    return request;
}

// New streams begin at the version that their attempt is assigned to.
static std::string attemptAssignedTo(const std::string& version, fleet::Fleet& fleet)
{
    for (unsigned i = 0;; ++i) {
        auto attempt = "a" + std::to_string(i);
        if (fleet.assignedVersion({ "engines" }, { attempt }).text == version)
            return attempt;
    }
}

TEST_GROUP(SoftwareVersion) {};

// The version of the upstreams in the client's own data centre is another one, and they are idle.
TEST(SoftwareVersion, ClientTakesUpItsStreamAtTheVersionThatBeganIt)
{
    ScriptedUpstream begins({ brokenAfter(1), wholeWith(2) });
    ScriptedUpstream other({ wholeWith(2), wholeWith(2) });
    GatewayFixture fixture;
    fixture.addUpstream("e1", "engines", begins, "dc-b", "v1");
    auto first = fixture.exchange(GatewayFixture::get("/stream/x"));
    STRCMP_CONTAINS("data: e1", first.c_str());
    fixture.addUpstream("e2", "engines", other, "dc-a", "v2");
    auto rest = fixture.exchange(takeUp(1, "a1"));
    LONGS_EQUAL(0, other.requests().size());
    LONGS_EQUAL(2, begins.requests().size());
    STRCMP_CONTAINS("data: e2", rest.c_str());
}

// There are more upstreams of another version, so that a choice among all of them rarely meets the right one.
TEST(SoftwareVersion, GatewayResumesAStreamAtTheVersionThatBeganIt)
{
    static constexpr int rounds = 3;
    static constexpr int othersOfEachRound = 8;
    for (int round = 0; round < rounds; ++round) {
        ScriptedUpstream begins({ brokenAfter(1) });
        ScriptedUpstream same({ wholeWith(2) });
        ScriptedUpstream other({ wholeWith(2) });
        GatewayFixture fixture;
        fixture.addUpstream("e1", "engines", begins, "dc-a", "v1");
        fixture.addUpstream("e2", "engines", same, "dc-b", "v1");
        for (int i = 0; i < othersOfEachRound; ++i)
            fixture.addUpstream("o" + std::to_string(i), "engines", other, "dc-c", "v2");
        auto client = fixture.connectClient();
        auto request = GatewayFixture::get("/stream/x");
        request.replace(request.find("Id: a1"), 6, "Id: " + attemptAssignedTo("v1", fixture.state.fleet));
        GatewayFixture::write(client, request);
        auto response = GatewayFixture::read(client);
        STRCMP_CONTAINS("data: e1", response.c_str());
        STRCMP_CONTAINS("data: e2", response.c_str());
        LONGS_EQUAL(0, other.requests().size());
        LONGS_EQUAL(1, same.requests().size());
    }
}

// Waiting doesn't bring the version back, and its client may ask anew.
TEST(SoftwareVersion, TakeUpIsRefusedAtOnceIfItsVersionHasLeft)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e2", "engines", "dc-a", 1, {}, "v2");
    fixture.update();
    fixture.origins.recordSent({ "a1" }, { { "engines" }, { "v1" } }, fixture.clock.now());
    fixture.instances.erase(fixture.instances.begin());
    fixture.update();
    forward::Exchange exchange(takenUp(fixture, "a1"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(fixture.clock.now(), 0);
    CHECK_TRUE(step.kind == forward::StepKind::Refuse);
    CHECK_TRUE(step.code == base::ResultCode::SoftwareVersionGone);
}

// A new stream is refused early, since other nodes and upstreams may take it. This one can only go on at its version, and its
// client has few tries left.
TEST(SoftwareVersion, TakeUpWaitsForTheUpstreamsOfItsVersion)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e2", "engines", "dc-b", 1, {}, "v1");
    fixture.addUpstream("e3", "engines", "dc-a", 1, {}, "v2");
    fixture.update();
    fixture.origins.recordSent({ "a1" }, { { "engines" }, { "v1" } }, fixture.clock.now());
    for (size_t i = 0; i < 2; ++i)
        fixture.fleet.deferRequests(fixture.instances[i], std::chrono::milliseconds(1000), fixture.clock.now());
    forward::Exchange exchange(takenUp(fixture, "a1"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(fixture.clock.now(), 0);
    auto until = fixture.clock.now() + std::chrono::milliseconds(1400);
    while (step.kind == forward::StepKind::Wait && fixture.clock.now() < until) {
        fixture.advance(std::chrono::milliseconds(20));
        step = exchange.tick(fixture.clock.now(), 0);
    }
    CHECK_TRUE_TEXT(step.kind == forward::StepKind::Send, base::nameOf(step.kind).data());
    STRCMP_EQUAL("v1", step.send.placement.target.version.text.c_str());
}

// Its client gives the stream up before they take work again.
TEST(SoftwareVersion, TakeUpIsRefusedAtOnceIfTheUpstreamsOfItsVersionAskToWaitForLonger)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e3", "engines", "dc-a", 1, {}, "v2");
    fixture.update();
    fixture.origins.recordSent({ "a1" }, { { "engines" }, { "v1" } }, fixture.clock.now());
    fixture.fleet.deferRequests(fixture.instances.front(), std::chrono::seconds(5), fixture.clock.now());
    forward::Exchange exchange(takenUp(fixture, "a1"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 0).kind == forward::StepKind::Refuse);
}

// A draining upstream takes no new work, so it doesn't serve its version.
TEST(SoftwareVersion, UpstreamsThatLeaveDoNotServeTheirVersion)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e2", "engines", "dc-a", 1, {}, "v2");
    fixture.instances.front().isDraining = true;
    fixture.update();
    fixture.origins.recordSent({ "a1" }, { { "engines" }, { "v1" } }, fixture.clock.now());
    forward::Exchange exchange(takenUp(fixture, "a1"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 0).code == base::ResultCode::SoftwareVersionGone);
}

TEST(SoftwareVersion, StreamEndsAtOnceIfItsVersionHasLeftInTheMiddle)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 0).kind == forward::StepKind::Send);
    exchange.recordHeadersSent();
    exchange.recordEvent(1, fixture.clock.now());
    fixture.instances.front().version.text = "v2";
    fixture.instances.front().id.text = "e2";
    fixture.update();
    auto step = exchange.attemptEnded(forward::AttemptOutcome::LostDuringResponse, fixture.clock.now(), 0);
    CHECK_TRUE(step.kind == forward::StepKind::Fail);
    CHECK_TRUE(step.code == base::ResultCode::StreamLost);
}

TEST(SoftwareVersion, BackupIsKeptAtTheVersionOfTheRun)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    for (int i = 0; i < 8; ++i)
        fixture.addUpstream("o" + std::to_string(i), "engines", "dc-b", 1, {}, "v2");
    fixture.addUpstream("e2", "engines", "dc-c", 1, {}, "v1");
    fixture.update();
    for (uint64_t random = 1; random < 64; ++random) {
        forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange.begin(fixture.clock.now(), random << 20);
        CHECK_TRUE(step.kind == forward::StepKind::Send);
        CHECK_TRUE(step.send.placement.backup.has_value());
        STRCMP_EQUAL(step.send.placement.target.version.text.c_str(), step.send.placement.backup->version.text.c_str());
    }
}

// The route has two services, and the client's new attempt must not meet the other one.
TEST(SoftwareVersion, TakenUpStreamGoesToTheServiceThatBeganIt)
{
    FleetFixture fixture;
    auto manifest = FleetFixture::makeManifest();
    manifest.services.push_back({ { "others" }, 370, manifest.services.front().engine });
    manifest.routes.front().services.push_back({ { "others" }, 9 });
    fixture.index = std::make_shared<const manifest::ManifestIndex>(manifest);
    fixture.addUpstream("e1", "engines", "dc-b", 1, {}, "v1");
    fixture.addUpstream("o1", "others", "dc-a", 1, {}, "v1");
    fixture.update();
    fixture.origins.recordSent({ "a1" }, { { "engines" }, { "v1" } }, fixture.clock.now());
    auto request = takenUp(fixture, "a1");
    request.service.text = "others";
    forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(fixture.clock.now(), 0);
    CHECK_TRUE(step.kind == forward::StepKind::Send);
    STRCMP_EQUAL("e1", step.send.placement.target.id.text.c_str());
}

// The list named the upstream's earlier incarnation when the request was sent.
TEST(SoftwareVersion, EventsOfAnUpstreamThatStartedAgainAtAnotherVersionAreNotForwarded)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.update();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    exchange.begin(fixture.clock.now(), 0);
    CHECK_TRUE(exchange.isUpstreamCurrent());
    fixture.instances.front().incarnation = 2;
    fixture.instances.front().version.text = "v2";
    fixture.update();
    CHECK_FALSE(exchange.isUpstreamCurrent());
}

// Any node then finds the version of a stream whose record is lost.
TEST(SoftwareVersion, NewStreamsGoToTheVersionThatTheirAttemptIsAssignedTo)
{
    FleetFixture fixture;
    for (int i = 0; i < 6; ++i)
        fixture.addUpstream("e" + std::to_string(i), "engines", i % 2 ? "dc-a" : "dc-b", 1, {}, i < 4 ? "v1" : "v2");
    fixture.update();
    unsigned atFirstVersion = 0;
    static constexpr unsigned streams = 300;
    for (unsigned i = 0; i < streams; ++i) {
        auto request = fixture.makeRequest("/stream/x");
        request.attempt.text = "attempt-" + std::to_string(i);
        forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange.begin(fixture.clock.now(), i * 7919);
        CHECK_TRUE(step.kind == forward::StepKind::Send);
        auto version = step.send.placement.target.version;
        CHECK_TRUE(version == fixture.fleet.assignedVersion({ "engines" }, request.attempt));
        atFirstVersion += version.text == "v1";
    }
    // Two thirds of the upstreams get about two thirds of the streams.
    CHECK_TRUE(atFirstVersion > streams / 2 && atFirstVersion < streams * 5 / 6);
}

// Serving comes first: the record tells where the stream went.
TEST(SoftwareVersion, NewStreamGoesElsewhereIfItsVersionTakesNoWork)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e2", "engines", "dc-a", 1, {}, "v2");
    fixture.update();
    fixture.fleet.suspect(fixture.instances.front(), fleet::SuspicionCause::Unreachable, fixture.clock.now());
    for (unsigned i = 0; i < 20; ++i) {
        auto request = fixture.makeRequest("/stream/x");
        request.attempt.text = "attempt-" + std::to_string(i);
        forward::Exchange exchange(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        auto step = exchange.begin(fixture.clock.now(), i);
        STRCMP_EQUAL("e2", step.send.placement.target.id.text.c_str());
        STRCMP_EQUAL("v2", fixture.origins.find({ request.attempt }).front().origin.version.text.c_str());
    }
}

// A stream changes its version only for one whose share has grown.
TEST(SoftwareVersion, AssignmentMovesOnlyToVersionsThatGrow)
{
    fleet::VersionWeights before { { { { "v1" }, 9 }, { { "v2" }, 9 } } };
    fleet::VersionWeights after { { { { "v1" }, 6 }, { { "v2" }, 9 }, { { "v3" }, 3 } } };
    unsigned moved = 0;
    for (unsigned i = 0; i < 2000; ++i) {
        base::ClientAttemptId attempt { "attempt-" + std::to_string(i) };
        if (before.assigned(attempt) == base::SoftwareVersion { "v2" })
            CHECK_FALSE(after.assigned(attempt) == base::SoftwareVersion { "v1" });
        moved += before.assigned(attempt) != after.assigned(attempt);
    }
    // A sixth of the upstreams are new, and v1 has a third less.
    CHECK_TRUE(moved > 0 && moved < 2000 / 3);
    CHECK_TRUE(fleet::VersionWeights {}.assigned({ "a" }).empty());
}

TEST(SoftwareVersion, TakeUpWaitsWhileTheStoreIsAsked)
{
    FleetFixture fixture;
    fixture.addUpstream("e1", "engines", "dc-a", 1, {}, "v1");
    fixture.addUpstream("e2", "engines", "dc-a", 1, {}, "v2");
    fixture.update();
    forward::Exchange exchange(takenUp(fixture, "a1"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    CHECK_TRUE(exchange.begin(fixture.clock.now(), 0).kind == forward::StepKind::Wait);
    fixture.advance(std::chrono::milliseconds(100));
    fixture.origins.lookups().answerFromStore({ { { "a1" }, { { "engines" }, { "v2" } } } }, fixture.clock.now());
    auto step = exchange.tick(fixture.clock.now(), 0);
    CHECK_TRUE(step.kind == forward::StepKind::Send);
    STRCMP_EQUAL("e2", step.send.placement.target.id.text.c_str());
}
