#include "base/NamedThread.h"
#include "fakes/FakeClock.h"
#include "fakes/FakeRandom.h"
#include "fakes/RecordingSink.h"
#include "fakes/Requests.h"
#include "redwingseam/membership/GossipEntryFactory.h"
#include "redwingseam/node/Node.h"

#include <CppUTest/TestHarness.h>

using namespace redwingseam;

TEST_GROUP(QuarantinedQueue) {};

// Each refusal from the queue used to call for the next dispatch, until the stack of the thread was used up.
TEST(QuarantinedQueue, ManyCopiesOfAHarmfulRequestDoNotUseUpTheStack)
{
    static constexpr uint64_t copies = 3000;
    fakes::FakeClock clock;
    fakes::FakeRandom random { 1 };
    fakes::RecordingSink sink;
    node::Node<fakes::FakeClock, fakes::FakeRandom, fakes::RecordingSink> node({ { "vm" }, { "dc" }, { "r" }, "127.0.0.1:1", 1, {} }, clock, random, sink);
    node.start();
    route::UpstreamRecord record { { "up" }, route::UpstreamKind::Engine, { "draft@1" }, { "dc" }, "http://u", 1, 1, route::UpstreamState::Live };
    node.handle(store::ObjectChanged { { "upstreams/up" }, { 1 }, record });
    uint64_t started = 0;
    for (uint64_t id = 1; id <= copies; ++id) {
        auto request = fakes::generationRequest("harmful", 5, "client-" + std::to_string(id));
        request.id = { id };
        node.handle(request);
    }
    uint64_t refused = 0;
    for (const auto& effect : sink.take()) {
        started += std::holds_alternative<node::StartGeneration>(effect);
        refused += std::holds_alternative<node::Refuse>(effect);
    }
    CHECK_TRUE(started > 0 && started < 10);
    LONGS_EQUAL(0, refused);
    membership::CrashReport report { node::fingerprintOf(fakes::generationRequest("harmful", 5)), true, false, false, {} };
    node.handle(peer::PeerMessage { peer::Gossip { { "peer" }, { membership::makeGossipEntry(report) } } });
    record.slots = 2 * copies;
    ++record.incarnation;
    // Events are handled on threads with a small stack.
    base::NamedThread thread("small", [&] { node.handle(store::ObjectChanged { { "upstreams/up" }, { 2 }, record }); });
    thread.join();
    for (const auto& effect : sink.take())
        refused += std::holds_alternative<node::Refuse>(effect);
    CHECK_TRUE(refused >= copies - started);
}
