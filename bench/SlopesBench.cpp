#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "base/MonotonicClock.h"
#include "base/SystemRandom.h"
#include "claim/ClaimLog.h"
#include "codec/PeerCodec.h"
#include "fakes/FakeModel.h"
#include "fakes/RecordingSink.h"
#include "fakes/Requests.h"
#include "membership/GossipStoreImpl.h"
#include "redwingseam/membership/GossipEntryFactory.h"
#include "redwingseam/node/Node.h"
#include "redwingseam/settings/Tree.h"

#include <malloc.h>
#include <string>

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    using Node = node::Node<base::MonotonicClock, base::SystemRandom, fakes::RecordingSink>;

    double bytesInUse()
    {
        return static_cast<double>(mallinfo2().uordblks) + static_cast<double>(mallinfo2().hblkhd);
    }

    double elapsedMicros(base::Instant start)
    {
        return static_cast<double>((base::MonotonicClock {}.now() - start).count());
    }

    // One node with one upstream that has a slot for every request.
    struct NodeFixture {
        base::MonotonicClock clock;
        base::SystemRandom random;
        fakes::RecordingSink sink;
        Node node { { { "vm" }, { "dc" }, { "r" }, "127.0.0.1:1", 1, {} }, clock, random, sink };

        NodeFixture()
        {
            node.start();
            route::UpstreamRecord record { { "up" }, route::UpstreamKind::Engine, { "draft@1" }, { "dc" }, "http://u", 100'000, 1, route::UpstreamState::Live };
            node.handle(store::ObjectChanged { { "upstreams/up" }, { 1 }, record });
            sink.take();
        }
    };

    void measureStreams(FigureReporter& figures)
    {
        static constexpr uint64_t streams = 2000;
        static constexpr uint32_t tokens = 200;
        NodeFixture fixture;
        auto before = bytesInUse();
        auto start = fixture.clock.now();
        for (uint64_t id = 1; id <= streams; ++id) {
            auto request = fakes::generationRequest(std::string(400, 'p'), 1000);
            request.id = { id };
            fixture.node.handle(request);
        }
        figures.addUnbounded("slope.request.us", elapsedMicros(start) / streams, "us");
        fixture.sink.take();
        figures.addUnbounded("slope.stream.bytes", (bytesInUse() - before) / streams, "bytes");
        before = bytesInUse();
        start = fixture.clock.now();
        for (uint32_t index = 0; index < tokens; ++index) {
            for (uint64_t id = 1; id <= streams; ++id)
                fixture.node.handle(node::TokensReceived { { id }, { 1 }, index, { { index, "word " } } });
            fixture.sink.take();
        }
        figures.addUnbounded("slope.token.us", elapsedMicros(start) / (streams * tokens), "us");
        figures.addUnbounded("slope.token.bytes", (bytesInUse() - before) / (streams * tokens), "bytes");
        start = fixture.clock.now();
        static constexpr int ticks = 200;
        for (int i = 0; i < ticks; ++i)
            fixture.node.handle(node::Tick {});
        fixture.sink.take();
        figures.addUnbounded("slope.tick.us_per_stream", elapsedMicros(start) / ticks / streams, "us");
    }

    void measureIdleTick(FigureReporter& figures)
    {
        NodeFixture fixture;
        static constexpr int ticks = 2000;
        auto start = fixture.clock.now();
        for (int i = 0; i < ticks; ++i)
            fixture.node.handle(node::Tick {});
        figures.addUnbounded("slope.tick.us", elapsedMicros(start) / ticks, "us");
    }

    void measureUpstreams(FigureReporter& figures)
    {
        static constexpr int upstreams = 5300;
        NodeFixture fixture;
        auto before = bytesInUse();
        auto start = fixture.clock.now();
        for (int i = 0; i < upstreams; ++i) {
            route::UpstreamRecord record { { "upstream-" + std::to_string(i) }, route::UpstreamKind::Engine, { "model-" + std::to_string(i % 13) + "@1" }, { "dc-" + std::to_string(i % 6) }, "http://10.0.0.1:8000", 16, 1, route::UpstreamState::Live };
            fixture.node.handle(store::ObjectChanged { { "upstreams/x" }, { 1 }, record });
        }
        figures.addUnbounded("slope.upstream.us", elapsedMicros(start) / upstreams, "us");
        fixture.sink.take();
        figures.addUnbounded("slope.upstream.bytes", (bytesInUse() - before) / upstreams, "bytes");
        start = fixture.clock.now();
        static constexpr int reports = 20'000;
        for (int i = 0; i < reports; ++i)
            fixture.node.handle(route::LoadReport { { "upstream-" + std::to_string(i % upstreams) }, 3, 0, false });
        figures.addUnbounded("slope.load_report.us", elapsedMicros(start) / reports, "us");
    }

    void measureBranches(FigureReporter& figures)
    {
        static constexpr int branches = 4200;
        NodeFixture fixture;
        auto before = bytesInUse();
        for (int i = 0; i < branches; ++i) {
            settings::Branch branch { "/clients/client-" + std::to_string(i), { static_cast<uint64_t>(i + 1) }, false, {} };
            branch.values[settings::indexOf(settings::Field::Weight)] = 100;
            fixture.node.handle(store::ObjectChanged { { "settings/accepted" + branch.path }, branch.version, store::AcceptedBranch { branch, branch.version } });
        }
        fixture.sink.take();
        figures.addUnbounded("slope.branch.bytes", (bytesInUse() - before) / branches, "bytes");
        auto start = fixture.clock.now();
        static constexpr int changes = 200;
        for (int i = 0; i < changes; ++i) {
            settings::Branch branch { "/clients/client-7", { static_cast<uint64_t>(10'000 + i) }, false, {} };
            fixture.node.handle(store::ObjectChanged { { "settings/accepted/clients/client-7" }, branch.version, store::AcceptedBranch { branch, branch.version } });
        }
        figures.addUnbounded("slope.branch_change.us", elapsedMicros(start) / changes, "us");
    }

    void measureClaims(FigureReporter& figures)
    {
        static constexpr int keys = 20'000;
        claim::ClaimLog log;
        log.enqueue({ claim::RecordKind::Claimed, { "first" }, 1, {} });
        log.nextCall();
        log.onCheckpoint(std::nullopt);
        log.nextCall();
        log.onRead(std::nullopt);
        log.nextCall();
        auto before = bytesInUse();
        auto start = base::MonotonicClock {}.now();
        log.onCreated();
        for (int i = 0; i < keys; ++i)
            log.enqueue({ claim::RecordKind::Claimed, { "6:client:booking:key-" + std::to_string(i) }, 7, {} });
        while (log.nextCall().kind == claim::LogCallKind::Create)
            log.onCreated();
        log.takeApplied();
        figures.addUnbounded("slope.claim.us", elapsedMicros(start) / keys, "us");
        figures.addUnbounded("slope.claim.bytes", (bytesInUse() - before) / keys, "bytes");
    }

    void measureFacts(FigureReporter& figures)
    {
        static constexpr int entries = 330;
        membership::GossipStore<> store;
        auto before = bytesInUse();
        peer::Gossip message { { "vm-1" }, {} };
        for (int i = 0; i < entries; ++i) {
            auto entry = membership::makeGossipEntry(membership::VmRecord { { "vm-" + std::to_string(i) }, { "dc-1" }, "10.0.0.1:9000", membership::VmState::Live }, 1'700'000'000'000ULL);
            store.merge(entry);
            message.entries.push_back(std::move(entry));
        }
        figures.addUnbounded("slope.node.bytes", (bytesInUse() - before) / entries / 2, "bytes");
        auto start = base::MonotonicClock {}.now();
        auto bytes = codec::formatMessage(message);
        auto parsed = codec::parseMessage(bytes);
        figures.addUnbounded("slope.fact.codec_us", elapsedMicros(start) / entries, "us");
        figures.addUnbounded("slope.fact.message_bytes", static_cast<double>(bytes.size()) / entries, "bytes");
    }

    void measureEmptyNode(FigureReporter& figures)
    {
        auto before = bytesInUse();
        NodeFixture fixture;
        figures.addUnbounded("slope.empty_node.bytes", bytesInUse() - before, "bytes");
    }

} // namespace

void benchSlopes(FigureReporter& figures)
{
    measureEmptyNode(figures);
    measureIdleTick(figures);
    measureStreams(figures);
    measureUpstreams(figures);
    measureBranches(figures);
    measureClaims(figures);
    measureFacts(figures);
}

} // namespace redwingseam::bench
