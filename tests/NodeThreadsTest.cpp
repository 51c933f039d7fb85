#include "base/MonotonicClock.h"
#include "base/NamedThread.h"
#include "base/SystemRandom.h"
#include "fakes/Requests.h"
#include "fakes/ThreadSafeRecordingSink.h"
#include "redwingseam/node/Node.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <map>

using namespace redwingseam;

namespace {

using ThreadedNode = node::Node<base::MonotonicClock, base::SystemRandom, fakes::ThreadSafeRecordingSink>;

void sendRequest(ThreadedNode& node, uint64_t id)
{
    auto request = fakes::generationRequest("prompt " + std::to_string(id), 5, "client-" + std::to_string(id % 3));
    request.id = { id };
    node.handle(request);
}

// Delivers all tokens of a request's first attempt and completes it. One caller in ten disconnects
// before the completion.
void completeAttempt(ThreadedNode& node, uint64_t id)
{
    for (uint32_t index = 0; index < 5; ++index)
        node.handle(node::TokensReceived { { id }, { 1 }, index, { { index, "t" } } });
    if (id % 10 == 0)
        node.handle(node::CallerDisconnected { { id } });
    node.handle(node::AttemptEnded { { id }, { 1 }, node::AttemptEnd::Complete, 5, {} });
}

} // namespace

TEST_GROUP(NodeThreads) {};

// Four threads and a ticker share a node, and each request must end exactly once. Run under the thread
// sanitizer, it also shows that the node's locks protect its state.
TEST(NodeThreads, ManyThreadsAnswerEachRequestOnce)
{
    static constexpr uint64_t perThread = 300;
    static constexpr uint64_t threads = 4;
    base::MonotonicClock clock;
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
        // All attempts are started before the first token arrives. Another thread may dispatch a
        // request, and engines answer only attempts that were sent to them.
        for (auto* step : { &sendRequest, &completeAttempt }) {
            std::vector<base::NamedThread> workers;
            for (uint64_t thread = 0; thread < threads; ++thread) {
                workers.emplace_back("worker", [&node, thread, step] {
                    for (uint64_t i = 0; i < perThread; ++i)
                        step(node, 1 + thread * perThread + i);
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
    // One caller in ten disconnected and got no answer.
    LONGS_EQUAL(threads * perThread * 9 / 10, ends.size());
    LONGS_EQUAL(0, node.status().requests);
}
