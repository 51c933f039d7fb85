#include "peering/PeerSync.h"
#include "peering/MessageCodec.h"
#include "platform/ManifestCodec.h"

#include "PropertyCheck.h"
#include "fakes/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace redwingseam;
using peering::Message;
using std::chrono::milliseconds;

namespace {

// Reads a manifest from a text that is its version.
struct VersionParser {
    static base::Result<manifest::Manifest> parse(const std::string& text)
    {
        auto manifest = fakes::FleetFixture::manifestOf();
        manifest.version = std::stoull(text);
        return manifest;
    }
};

// A node's side of the exchange between nodes.
struct PeerNode {
    explicit PeerNode(const std::string& name, const std::string& dataCentre)
        : record { { name }, { dataCentre }, name }
        , sync(record, fleet, crashes, manifest, board, follow)
    {
        fleet.update(fleetList(), base::Instant(std::chrono::seconds(1)), {});
    }

    static std::vector<fleet::UpstreamInstance> fleetList()
    {
        return { { { "e1" }, { "engines" }, "127.0.0.1:1", { "dc-a" }, 1, 6, false }, { { "e2" }, { "engines" }, "127.0.0.1:2", { "dc-b" }, 1, 6, false } };
    }

    void confirm(uint64_t version, base::Instant readBegan)
    {
        manifest.confirm(VersionParser::parse(std::to_string(version)).value(), std::to_string(version), readBegan);
    }

    sync::NodeRecord record;
    fleet::Fleet fleet { { "dc-a" } };
    forward::CrashRegister crashes;
    manifest::ManifestHolder manifest;
    sync::UpstreamBoard board;
    sync::FollowRule follow;
    peering::PeerSync<VersionParser> sync;
};

// Nodes in virtual time; messages between them take a given time and pass through the codec.
struct PeerWorld {
    struct Flight {
        base::Instant arrives;
        std::string to;
        std::string bytes;
    };

    std::vector<std::unique_ptr<PeerNode>> nodes;
    std::deque<Flight> flights;
    std::set<std::string> silent;
    base::Instant now { std::chrono::seconds(100) };
    base::Duration delay = milliseconds(1);
    size_t bytesSent = 0;

    PeerNode& add(const std::string& name, const std::string& dataCentre)
    {
        nodes.push_back(std::make_unique<PeerNode>(name, dataCentre));
        return *nodes.back();
    }

    void introduce()
    {
        std::vector<sync::NodeRecord> all;
        for (const auto& node : nodes)
            all.push_back(node->record);
        for (const auto& node : nodes)
            node->sync.setNodes(all);
    }

    void post(const peering::OutgoingList& outgoing)
    {
        for (const auto& item : outgoing) {
            flights.push_back({ now + delay, item.address, peering::formatMessage(item.message, now) });
            bytesSent += flights.back().bytes.size();
        }
    }

    void run(base::Duration length)
    {
        auto end = now + length;
        for (base::Instant nextTick = now; now < end; now += milliseconds(1)) {
            while (!flights.empty() && flights.front().arrives <= now) {
                auto flight = flights.front();
                flights.pop_front();
                deliver(flight);
            }
            if (now < nextTick)
                continue;
            nextTick += milliseconds(50);
            for (const auto& node : nodes) {
                if (!silent.count(node->record.name.text))
                    post(node->sync.tick(now));
            }
        }
    }

    void deliver(const Flight& flight)
    {
        for (const auto& node : nodes) {
            if (node->record.peerAddress == flight.to && !silent.count(flight.to))
                post(node->sync.handle(*peering::parseMessage(flight.bytes, now), now));
        }
    }
};

} // namespace

TEST_GROUP(PeerSync)
{
    PeerWorld world;
};

TEST(PeerSync, OneNodeOfADataCentreIsItsHubAndAnotherTakesOver)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& a3 = world.add("a3", "dc-a");
    world.introduce();
    world.run(milliseconds(1000));
    CHECK_TRUE(a1.follow.isHub() && !a2.follow.isHub() && !a3.follow.isHub());
    world.silent.insert("a1");
    world.run(milliseconds(2000));
    CHECK_TRUE(a2.follow.isHub() && !a3.follow.isHub());
    world.silent.clear();
    world.run(milliseconds(3000));
    CHECK_TRUE(a1.follow.isHub() && !a2.follow.isHub() && !a3.follow.isHub());
}

TEST(PeerSync, OneNodeOfAllAsksTheStoreUntilItsWordGrowsOld)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    auto& b2 = world.add("b2", "dc-b");
    world.introduce();
    world.run(milliseconds(1500));
    CHECK_TRUE(a1.follow.isLeader() && !a2.follow.isLeader() && !b1.follow.isLeader() && !b2.follow.isLeader());
    CHECK_TRUE(b1.follow.isHub());
    CHECK_FALSE(b1.follow.asksStore(milliseconds(2000), milliseconds(3000)));
    CHECK_TRUE(b1.follow.asksStore(milliseconds(2300), milliseconds(3000)));
    world.silent = { "a1", "a2" };
    world.run(milliseconds(2500));
    CHECK_TRUE(b1.follow.isLeader() && !b2.follow.isLeader());
}

TEST(PeerSync, NodeThatStartsIsToldAtOnce)
{
    auto& a1 = world.add("a1", "dc-a");
    world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    world.introduce();
    a1.confirm(7, world.now);
    a1.board.post({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { 3, PeerNode::fleetList() }), world.now, {} });
    world.run(milliseconds(1500));
    CHECK_TRUE(b1.manifest.state().index != nullptr);
    // Its entry is in the store, the others' directories may not have it yet.
    for (const auto& [name, dataCentre] : std::map<std::string, std::string> { { "a3", "dc-a" }, { "b2", "dc-b" }, { "c1", "dc-c" } }) {
        auto& late = world.add(name, dataCentre);
        world.run(milliseconds(75));
        std::vector<sync::NodeRecord> all;
        for (const auto& node : world.nodes)
            all.push_back(node->record);
        late.sync.setNodes(all);
        CHECK_FALSE(late.sync.isFirst());
        world.run(milliseconds(120));
        CHECK_TRUE(late.manifest.state().index != nullptr);
        CHECK_TRUE(late.board.listing().has_value());
        CHECK_FALSE(late.follow.isLeader());
    }
    CHECK_TRUE(a1.sync.isFirst());
}

TEST(PeerSync, NodesThatStartTogetherAreEachSentTheListAboutOnce)
{
    for (const char* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
        for (int i = 1; i <= 6; ++i)
            world.add(dataCentre + std::to_string(i), dataCentre);
    }
    auto& leader = *world.nodes.front();
    leader.confirm(7, world.now);
    auto list = PeerNode::fleetList();
    for (int i = 0; i < 300; ++i)
        list.push_back({ { "upstream-" + std::to_string(i) }, { "engines" }, "127.0.0.1:1", { "dc-a" }, 1, 6, false });
    leader.board.post({ std::make_shared<const sync::UpstreamList>(sync::UpstreamList { 3, list }), world.now, {} });
    world.introduce();
    world.run(milliseconds(1000));
    world.bytesSent = 0;
    for (const char* dataCentre : { "dc-a", "dc-b", "dc-c" }) {
        for (int i = 7; i <= 9; ++i)
            world.add(dataCentre + std::to_string(i), dataCentre);
    }
    world.introduce();
    world.run(milliseconds(300));
    auto whole = peering::formatMessage(peering::StateReply { .list = sync::UpstreamList { 3, list } }, world.now).size();
    for (const auto& node : world.nodes)
        CHECK_TRUE_TEXT(node->board.listing().has_value(), node->record.name.text.c_str());
    CHECK_TRUE_TEXT(world.bytesSent < 2 * whole * 9, std::to_string(world.bytesSent / whole).c_str());
}

TEST(PeerSync, OldListOfNodesDropsNoneThatIsHeardOf)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    world.introduce();
    world.run(milliseconds(1000));
    CHECK_FALSE(a2.follow.isLeader());
    a2.sync.setNodes({ a2.record });
    world.run(milliseconds(60));
    CHECK_FALSE(a2.follow.isLeader());
    CHECK_TRUE(a1.follow.isLeader());
}

TEST(PeerSync, AllNodesCountTheSameNodesThoughEachListedOnlySome)
{
    std::vector<sync::NodeRecord> entered;
    for (const char* dataCentre : { "dc-c", "dc-a", "dc-b" }) {
        for (int i = 1; i <= 4; ++i) {
            auto& node = world.add(dataCentre + std::to_string(i), dataCentre);
            entered.push_back(node.record);
            node.sync.setNodes(entered);
        }
    }
    world.run(milliseconds(3000));
    for (const auto& node : world.nodes)
        LONGS_EQUAL_TEXT(12, node->fleet.nodeCount(), node->record.name.text.c_str());
}

TEST(PeerSync, ManifestReachesNeighboursAndOtherDataCentresWithItsAge)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    world.introduce();
    world.run(milliseconds(600));
    auto read = world.now;
    a1.confirm(7, read);
    world.run(milliseconds(1200));
    for (auto* node : { &a2, &b1 }) {
        LONGS_EQUAL(7, node->manifest.state().index->manifest().version);
        CHECK_TRUE(node->manifest.state().confirmedAt <= read);
        CHECK_TRUE(node->manifest.state().confirmedAt > read - milliseconds(10));
    }
}

TEST(PeerSync, DelayNeverMakesAManifestLookYounger)
{
    CHECK_PROPERTY("what a node believes confirmed was confirmed no earlier", [](uint16_t delayMillis, uint16_t readAgoMillis) {
        PeerWorld world;
        auto& a1 = world.add("a1", "dc-a");
        auto& a2 = world.add("a2", "dc-a");
        world.delay = milliseconds(delayMillis % 1500);
        world.introduce();
        auto read = world.now - milliseconds(readAgoMillis % 3000);
        a1.confirm(3, read);
        world.run(milliseconds(5000));
        if (a2.manifest.state().index)
            RC_ASSERT(a2.manifest.state().confirmedAt <= read);
    });
}

TEST(PeerSync, BookedWorkIsSeenByAllNodes)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    auto& b2 = world.add("b2", "dc-b");
    world.introduce();
    auto index = std::make_shared<const manifest::ManifestIndex>(fakes::FleetFixture::manifestOf());
    fleet::PlacementQuery query;
    query.service.text = "engines";
    query.engine = index->service({ "engines" })->engine;
    query.promptTokens = 8000;
    query.preferredAddress = "127.0.0.1:1";
    query.now = world.now;
    auto placement = a2.fleet.place(query);
    world.run(milliseconds(2500));
    for (auto* node : { &a1, &b1, &b2 }) {
        for (const auto& entry : node->fleet.entries()) {
            if (entry.instance.id.text == "e1")
                LONGS_EQUAL(8000, entry.others.unreadTokens);
        }
    }
    for (const auto& entry : a2.fleet.entries())
        LONGS_EQUAL(0, entry.others.unreadTokens);
    a2.fleet.release(*placement);
    world.run(milliseconds(2500));
    for (const auto& entry : b2.fleet.entries())
        LONGS_EQUAL(0, entry.others.unreadTokens);
}

TEST(PeerSync, SuspicionsReachAllNodesUnlessTheyKnowBetter)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    auto& b1 = world.add("b1", "dc-b");
    auto& b2 = world.add("b2", "dc-b");
    world.introduce();
    world.run(milliseconds(1000));
    auto upstream = PeerNode::fleetList().front();
    a2.fleet.suspect(upstream, fleet::SuspicionCause::ConnectionLost, world.now);
    b2.fleet.noteHeard(upstream, world.now + milliseconds(20));
    world.run(milliseconds(150));
    CHECK_FALSE(a1.fleet.takesWork(upstream, world.now));
    CHECK_FALSE(b1.fleet.takesWork(upstream, world.now));
    CHECK_TRUE(b2.fleet.takesWork(upstream, world.now));
}

TEST(PeerSync, RequestThatBreaksUpstreamsAtSeveralNodesIsHarmfulAtAllOfThem)
{
    for (const char* name : { "a1", "a2", "b1", "b2", "c1" })
        world.add(name, std::string("dc-") + name[0]);
    world.introduce();
    world.run(milliseconds(1000));
    base::Fingerprint fingerprint { UINT64_MAX - 1 };
    for (size_t i : { 1, 3, 4 }) {
        world.nodes[i]->crashes.note({ fingerprint, world.now, world.now + milliseconds(5) });
        world.run(milliseconds(300));
    }
    for (const auto& node : world.nodes) {
        CHECK_TRUE(node->crashes.isHarmful(fingerprint, world.now));
        CHECK_FALSE(node->crashes.isSuspect({ 7 }, world.now));
    }
    // A node that was not there yet learns it with its first answers.
    auto& late = world.add("b3", "dc-b");
    world.introduce();
    world.run(milliseconds(1000));
    CHECK_TRUE(late.crashes.isHarmful(fingerprint, world.now));
}

TEST(PeerSync, ListOfUpstreamsReachesNeighboursOnceAndOnlyIfNewer)
{
    auto& a1 = world.add("a1", "dc-a");
    auto& a2 = world.add("a2", "dc-a");
    world.introduce();
    world.run(milliseconds(1000));
    auto list = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { 9, PeerNode::fleetList() });
    a1.board.post({ list, world.now, {} });
    world.run(milliseconds(500));
    LONGS_EQUAL(9, a2.board.listing()->list->revision);
    auto older = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { 8, {} });
    CHECK_FALSE(a2.board.post({ older, world.now, {} }));
}

TEST(PeerSync, NewsOfALaterMomentThanItsMessageIsRead)
{
    auto now = base::Instant(std::chrono::seconds(5));
    auto later = now + milliseconds(3);
    peering::NewsMessage news { { { "n" }, { "dc" }, "127.0.0.1:1" }, { { { "e1" }, { "engines" }, fleet::SuspicionCause::ConnectionLost, later } }, { { { 5 }, later, later } } };
    auto read = peering::parseMessage(peering::formatMessage(news, now), now);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(std::get<peering::NewsMessage>(*read).news.front().at == now);
}

TEST(PeerSync, MessagesThatWouldExhaustANodeAreRefused)
{
    auto now = base::Instant(std::chrono::seconds(5));
    std::string announcesTooMany = "\x88\x9b\x9b\x9b\x9b\x9b\x9b\x9b\x9b\x9b";
    CHECK_FALSE(peering::parseMessage(announcesTooMany, now).has_value());
    std::string nestsTooDeeply(2'000'000, '\x81');
    CHECK_FALSE(peering::parseMessage(nestsTooDeeply, now).has_value());
    CHECK_FALSE(peering::parseMessage({}, now).has_value());
}

TEST(PeerSync, DamagedMessagesAreRefused)
{
    CHECK_PROPERTY("any damage is read or refused", [](uint16_t position, uint8_t byte) {
        auto now = base::Instant(std::chrono::seconds(5));
        peering::StateReply reply;
        reply.from = { { "n" }, { "dc" }, "127.0.0.1:1" };
        reply.list = sync::UpstreamList { 4, PeerNode::fleetList() };
        reply.loads[{ "e1" }] = { 1, 2, 3 };
        reply.nodes = { reply.from };
        reply.harmful = { { { 5 }, now } };
        auto bytes = peering::formatMessage(reply, now);
        RC_ASSERT(peering::parseMessage(bytes, now).has_value());
        auto cut = bytes.substr(0, position % bytes.size());
        RC_ASSERT(!peering::parseMessage(cut, now).has_value());
        bytes[position % bytes.size()] = static_cast<char>(byte);
        (void)peering::parseMessage(bytes, now);
    });
}
