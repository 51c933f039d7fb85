#include "base/NamedThread.h"
#include "base/SystemClock.h"
#include "base/SystemRandom.h"
#include "fakes/Requests.h"
#include "fakes/ThreadSafeRecordingSink.h"
#include "redwingseam/node/Node.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <map>

using namespace redwingseam;

namespace {

using ThreadedNode = node::Node<base::SystemClock, base::SystemRandom, fakes::ThreadSafeRecordingSink>;

void sendRequest(ThreadedNode& node, uint64_t id)
{
    auto request = fakes::generationRequest("prompt " + std::to_string(id), 5, "client-" + std::to_string(id % 3));
    request.id = { id };
    node.handle(request);
}

// The first attempt brings its tokens and ends; one caller in ten leaves before.
void playAttempt(ThreadedNode& node, uint64_t id)
{
    for (uint32_t index = 0; index < 5; ++index)
        node.handle(node::TokensReceived { { id }, { 1 }, index, { { index, "t" } } });
    if (id % 10 == 0)
        node.handle(node::CallerGone { { id } });
    node.handle(node::AttemptEnded { { id }, { 1 }, node::AttemptEnd::Complete, 5, {} });
}

} // namespace

TEST_GROUP(NodeThreads) {};

// Run under the thread sanitizer to show that the node's locks cover its state.
TEST(NodeThreads, ManyThreadsAnswerEachRequestOnce)
{
    static constexpr uint64_t perThread = 300;
    static constexpr uint64_t threads = 4;
    base::SystemClock clock;
    base::SystemRandom random;
    fakes::ThreadSafeRecordingSink sink;
    ThreadedNode node({ { "vm" }, { "dc" }, { "r" }, "127.0.0.1:1", 1, {} }, clock, random, sink);
    node.start();
    for (int i = 0; i < 3; ++i) {
        route::UpstreamRecord record { { "up-" + std::to_string(i) }, route::UpstreamKind::Engine, { "draft@1" }, { "dc" }, "http://u", 4000, 1, route::UpstreamState::Live };
        node.handle(store::ObjectChanged { { "upstreams/x" }, { 1 }, record });
    }
    std::atomic<bool> isDone { false };
    {
        base::NamedThread ticker("ticker", [&] {
            while (!isDone) {
                node.handle(node::Tick {});
                node.handle(route::LoadReport { { "up-1" }, 3, 0, false });
                node.status();
                node.burn();
            }
        });
        // All attempts have been started before the first token comes: another thread may be the one that
        // gives a request its slot, and engines answer only what they were sent.
        for (auto* play : { &sendRequest, &playAttempt }) {
            std::vector<base::NamedThread> workers;
            for (uint64_t thread = 0; thread < threads; ++thread) {
                workers.emplace_back("worker", [&node, thread, play] {
                    for (uint64_t i = 0; i < perThread; ++i)
                        play(node, 1 + thread * perThread + i);
                });
            }
        }
        isDone = true;
    }
    std::map<uint64_t, int> ends;
    for (const auto& effect : sink.take()) {
        if (const auto* finish = std::get_if<node::Finish>(&effect))
            ++ends[finish->request.value];
        if (const auto* refusal = std::get_if<node::Refuse>(&effect))
            ++ends[refusal->request.value];
    }
    for (const auto& [id, count] : ends)
        LONGS_EQUAL(1, count);
    // All but those whose caller left.
    LONGS_EQUAL(threads * perThread * 9 / 10, ends.size());
    LONGS_EQUAL(0, node.status().requests);
}
