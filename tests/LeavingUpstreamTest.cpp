#include "fakes/FakePeerCluster.h"
#include "fakes/FleetFixture.h"
#include "fakes/GatewayFixture.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

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

TEST_GROUP(LeavingUpstream)
{
    static constexpr const char* leaving = "Server-Leaving: 1\r\n";

    fakes::FleetFixture fixture;

    base::Instant now() const { return fixture.clock.now(); }

    fleet::PlacementQuery query(uint64_t random = 1)
    {
        fleet::PlacementQuery query;
        query.service.text = "engines";
        query.engine = manifest::EngineSpec { 64, 88000, true, seconds(4) };
        query.promptTokens = 800;
        query.wantsBackup = true;
        query.random = random * 0x9E3779B97F4A7C15ULL;
        query.now = now();
        return query;
    }

    // Adds e1, which is leaving, and e2.
    void addTwoEngines()
    {
        fixture.addUpstream("e1", "engines", "dc-a", 5);
        fixture.addUpstream("e2", "engines", "dc-b", 5);
        fixture.update();
        fixture.fleet.recordLeaving(fixture.instances[0], now());
    }

    bool isUsed(const std::string& id)
    {
        for (uint64_t random = 0; random < 40; ++random) {
            auto placement = fixture.fleet.place(query(random));
            if (!placement)
                return false;
            bool isChosen = placement->target.id.text == id || (placement->backup && placement->backup->id.text == id);
            fixture.fleet.release(*placement);
            if (isChosen)
                return true;
        }
        return false;
    }
};

TEST(LeavingUpstream, GetsNoRequestAndNoBackupWhileTheListSaysThatItIsReady)
{
    addTwoEngines();
    CHECK_FALSE(isUsed("e1"));
    // Neither a success of an earlier request nor another list ends it.
    fixture.fleet.recordContact(fixture.instances[0], now());
    fixture.fleet.clearSuspicion(fixture.instances[0]);
    fixture.advance(minutes(5));
    fixture.update();
    CHECK_FALSE(isUsed("e1"));
    CHECK_TRUE(isUsed("e2"));
}

// The other upstream is suspected, and the copy of the broken run is at the leaving one.
TEST(LeavingUpstream, IsNoLastResortAndNoPlaceToResume)
{
    addTwoEngines();
    auto resumption = query();
    resumption.preferredAddress = fixture.instances[0].address;
    fixture.fleet.suspect(fixture.instances[1], fleet::SuspicionCause::Unreachable, now());
    for (const auto& each : { query(), resumption })
        STRCMP_EQUAL("e2", fixture.fleet.place(each)->target.id.text.c_str());
}

// An outage of the store, or a restored copy, brings back the entry of an upstream that had left.
TEST(LeavingUpstream, EntryThatComesBackIsNotUsed)
{
    addTwoEngines();
    auto both = fixture.instances;
    fixture.instances.erase(fixture.instances.begin());
    fixture.update();
    fixture.advance(minutes(10));
    fixture.update();
    fixture.instances = both;
    fixture.update();
    CHECK_FALSE(isUsed("e1"));
}

// A restored copy of the store lists an upstream as ready that has been draining since.
TEST(LeavingUpstream, DrainingUpstreamThatIsListedAsReadyAgainIsNotUsed)
{
    fixture.addUpstream("e1", "engines", "dc-a", 5);
    fixture.addUpstream("e2", "engines", "dc-b", 5);
    fixture.instances[0].isDraining = true;
    fixture.update();
    fixture.instances[0].isDraining = false;
    fixture.update();
    CHECK_FALSE(isUsed("e1"));
    fixture.instances[0].incarnation = 6;
    fixture.update();
    CHECK_TRUE(isUsed("e1"));
}

TEST(LeavingUpstream, IsUsedAfterItsRestart)
{
    addTwoEngines();
    auto before = fixture.instances[0];
    fixture.instances[0].incarnation = 6;
    fixture.update();
    CHECK_TRUE(isUsed("e1"));
    // A late answer of the incarnation before does not concern the new one.
    fixture.fleet.recordLeaving(before, now());
    CHECK_TRUE(isUsed("e1"));
}

// An entry without a start time cannot be told from that of a restarted upstream.
TEST(LeavingUpstream, EntryWithoutAStartTimeIsUsedAfterItWasRemoved)
{
    fixture.addUpstream("e1", "engines", "dc-a", 0);
    fixture.update();
    fixture.fleet.recordLeaving(fixture.instances[0], now());
    CHECK_FALSE(isUsed("e1"));
    auto entry = fixture.instances;
    fixture.instances.clear();
    fixture.update();
    fixture.instances = entry;
    fixture.update();
    CHECK_TRUE(isUsed("e1"));
}

TEST(LeavingUpstream, RequestIsRefusedAtOnceIfAllUpstreamsAreLeaving)
{
    addTwoEngines();
    fixture.fleet.recordLeaving(fixture.instances[1], now());
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto step = exchange.begin(now(), 1);
    CHECK_TRUE(step.kind == StepKind::Refuse && step.code == base::ResultCode::NoUpstream);
    CHECK_TRUE(step.retryAfter > base::Duration {});
}

// The upstream refuses a stream with a backup and says that it is leaving; only its refusal of the backup is repeated.
TEST(LeavingUpstream, RefusedStreamIsNotSentToItAgainWithoutItsBackup)
{
    fixture.addEngines();
    forward::Exchange exchange(fixture.makeRequest("/stream/x"), fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
    auto first = exchange.begin(now(), 1).send.placement;
    CHECK_TRUE(first.backup.has_value());
    fixture.fleet.recordLeaving(first.target, now());
    auto step = exchange.backupRefused(now(), 1);
    CHECK_TRUE(step.kind == StepKind::Send);
    CHECK_TRUE(step.send.placement.target.id != first.target.id);
}

TEST(LeavingUpstream, OtherNodesAreTold)
{
    fakes::FakePeerCluster cluster;
    for (const char* name : { "a1", "a2", "b1", "b2" })
        cluster.add(name, std::string("dc-") + name[0]);
    cluster.shareNodeList();
    cluster.run(milliseconds(1000));
    auto upstream = fakes::PeerNode::fleetList().front();
    cluster.nodes[1]->fleet.recordLeaving(upstream, cluster.now);
    cluster.run(milliseconds(200));
    for (const auto& node : cluster.nodes)
        CHECK_FALSE(node->fleet.takesWork(upstream, cluster.now));
}

TEST(LeavingUpstream, OlderReleasesReadTheNotice)
{
    base::Instant at { seconds(5) };
    replication::FailureNotice notice;
    notice.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
    notice.leaving = { { { "e1" }, { "engines" }, 1'700'000'000'000 } };
    auto bytes = replication::formatMessage(notice, at);
    auto read = replication::parseMessage(bytes, at);
    CHECK_TRUE(read.has_value());
    const auto& report = std::get<replication::FailureNotice>(*read).leaving.front();
    CHECK_TRUE(report.upstream.text == "e1" && report.service.text == "engines" && report.incarnation == 1'700'000'000'000);
    // And a notice of the release before is read, which ends one field earlier.
    auto older = nlohmann::json::from_cbor(bytes);
    older.erase(older.size() - 1);
    std::string olderBytes;
    nlohmann::json::to_cbor(older, olderBytes);
    read = replication::parseMessage(olderBytes, at);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(std::get<replication::FailureNotice>(*read).isEmpty());
}

// The upstream answers any kind of request with the header and is then listed as ready for some time.
TEST(LeavingUpstream, NoRequestFollowsAnAnswerWithTheHeader)
{
    const std::string head = "Redwingseam-Attempt-Id: $ID\r\nContent-Length: 0\r\n" + std::string(leaving) + "\r\n";
    const std::vector<std::string> answers {
        GatewayFixture::ok("last", leaving),
        "HTTP/1.1 500 X\r\nRedwingseam-Upstream-Seal: s\r\n" + head,
        "HTTP/1.1 404 X\r\nRedwingseam-Upstream-Seal: s\r\n" + head,
        "HTTP/1.1 503 X\r\nRedwingseam-Not-Executed: 1\r\n" + head,
    };
    for (const auto& answer : answers) {
        GatewayFixture gateway;
        ScriptedUpstream departing({ { answer }, { GatewayFixture::ok("again") }, { GatewayFixture::ok("again") }, { GatewayFixture::ok("again") } });
        ScriptedUpstream staying(std::vector<fakes::ScriptedResponse>(9, { GatewayFixture::ok("stays") }));
        gateway.addUpstream("d1", "desk", departing);
        auto first = gateway.exchange(GatewayFixture::post("/book/x", "b"));
        CHECK_TRUE_TEXT(contains(first, answer.substr(0, 12)), first.c_str());
        gateway.addUpstream("d2", "desk", staying, "dc-b");
        for (int i = 0; i < 4; ++i)
            CHECK_TRUE_TEXT(contains(gateway.exchange(GatewayFixture::get("/read/x")), "stays"), answer.c_str());
        LONGS_EQUAL(1, departing.requests().size());
    }
}

TEST(LeavingUpstream, HeaderIsForwardedAndTheNextRequestIsRefusedAsNotRun)
{
    GatewayFixture gateway;
    ScriptedUpstream departing({ { GatewayFixture::ok("last", leaving) }, { GatewayFixture::ok("again") } });
    gateway.addUpstream("d1", "desk", departing);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), leaving));
    auto refused = gateway.exchange(GatewayFixture::post("/book/x", "b"));
    CHECK_TRUE_TEXT(contains(refused, "HTTP/1.1 503 ") && contains(refused, "Retry-After: "), refused.c_str());
    LONGS_EQUAL(1, departing.requests().size());
}

// The header of a stream counts from its start, and the stream goes on to its end.
TEST(LeavingUpstream, StreamInProgressEndsWhileNewOnesGoElsewhere)
{
    auto head = GatewayFixture::streamHead();
    head.insert(head.size() - 2, leaving);
    GatewayFixture gateway;
    ScriptedUpstream departing({ { head + GatewayFixture::event(1) }, { GatewayFixture::streamHead() + GatewayFixture::event(1) + "0\r\n\r\n" } });
    gateway.addUpstream("e1", "engines", departing);
    auto client = gateway.connectClient();
    GatewayFixture::write(client, GatewayFixture::post("/stream/x", "b"));
    CHECK_TRUE(contains(GatewayFixture::read(client, "data: e1"), "data: e1"));
    auto refused = gateway.exchange(GatewayFixture::post("/stream/x", "b"));
    CHECK_TRUE_TEXT(contains(refused, "HTTP/1.1 503 "), refused.c_str());
    LONGS_EQUAL(1, departing.requests().size());
    LONGS_EQUAL(0, departing.closedConnections());
}

// A late answer to an earlier request comes from the upstream too. One that names another instance does not.
TEST(LeavingUpstream, LateAnswerCountsAndThatOfAnotherInstanceDoesNot)
{
    auto late = GatewayFixture::ok("late", leaving);
    late.replace(late.find("$ID"), 3, "zz");
    const std::string misdirected = "HTTP/1.1 421 X\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Not-Executed: 1\r\nContent-Length: 0\r\n" + std::string(leaving) + "\r\n";
    GatewayFixture gateway;
    ScriptedUpstream departing({ { late + GatewayFixture::ok("mine") }, { GatewayFixture::ok("again") } });
    gateway.addUpstream("d1", "desk", departing);
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "\r\n\r\nmine"));
    CHECK_TRUE(contains(gateway.exchange(GatewayFixture::post("/book/x", "b")), "HTTP/1.1 503 "));
    LONGS_EQUAL(1, departing.requests().size());
    ScriptedUpstream other({ { misdirected } });
    gateway.addUpstream("d2", "desk", other);
    gateway.exchange(GatewayFixture::post("/book/x", "b"));
    for (const auto& entry : gateway.state.fleet.entries())
        CHECK_EQUAL(entry.instance.id.text == "d1", entry.refusal.isLeaving);
}
