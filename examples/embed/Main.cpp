#include "redwingseam/node/Node.h"

#include <cstdio>
#include <vector>

namespace {

using namespace redwingseam;

// A clock that advances only when the example sets it.
struct ManualClock {
    base::Instant time { std::chrono::seconds(1) };
    base::Instant now() const { return time; }
};

// A linear congruential generator with a fixed seed, so that each run gives the same output.
struct SeededRandom {
    uint64_t state = 42;
    uint64_t next() { return state = state * 6364136223846793005ULL + 1442695040888963407ULL; }
};

// Records the effects that the node emits.
struct RecordingSink {
    std::vector<node::Effect> effects;
    void emit(node::Effect effect) { effects.push_back(std::move(effect)); }
};

using ExampleNode = node::Node<ManualClock, SeededRandom, RecordingSink>;

void print(const node::Effect& effect)
{
    if (const auto* start = std::get_if<node::StartGeneration>(&effect))
        std::printf("start attempt %lu at %s after %zu tokens\n", start->attempt.value, start->upstream.name.text.c_str(), start->prefixIds.size());
    else if (const auto* tokens = std::get_if<node::SendTokens>(&effect))
        std::printf("send %zu tokens from index %u\n", tokens->tokens.size(), tokens->firstIndex);
    else if (const auto* finish = std::get_if<node::Finish>(&effect))
        std::printf("finish with %u tokens after %u resumes\n", finish->totalTokens, finish->resumes);
}

route::UpstreamRecord engine(const char* name)
{
    return { { name }, route::UpstreamKind::Engine, { "draft@1" }, { "dc" }, "http://engine", 8, 1, route::UpstreamState::Live };
}

} // namespace

// Drives a node without network or threads: one engine sends two tokens and is lost, and the request
// resumes on another engine.
int main()
{
    ManualClock clock;
    SeededRandom random;
    RecordingSink sink;
    ExampleNode node({ { "vm-1" }, { "dc" }, { "region" }, "127.0.0.1:1", 1, {} }, clock, random, sink);
    node.start();
    node.handle(store::ObjectChanged { { "upstreams/a" }, { 1 }, engine("a") });
    node.handle(store::ObjectChanged { { "upstreams/b" }, { 2 }, engine("b") });

    node::CallerRequest request;
    request.id = { 1 };
    request.client.text = "client";
    request.target = "draft";
    request.content = "a prompt";
    request.maxTokens = 3;
    node.handle(request);
    node.handle(node::TokensReceived { { 1 }, { 1 }, 0, { { 10, "one " }, { 11, "two " } } });
    node.handle(node::AttemptEnded { { 1 }, { 1 }, node::AttemptEnd::Lost, 0, {} });
    // The crash is attributed before the request is retried, after a wait for reports of other nodes. The ticks
    // let that time pass.
    for (int tick = 0; tick < 10; ++tick) {
        clock.time += node::tickInterval;
        node.handle(node::Tick {});
    }
    node.handle(node::TokensReceived { { 1 }, { 2 }, 2, { { 12, "three" } } });
    node.handle(node::AttemptEnded { { 1 }, { 2 }, node::AttemptEnd::Complete, 3, {} });
    for (const auto& effect : sink.effects)
        print(effect);
    return 0;
}
