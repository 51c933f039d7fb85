#pragma once

#include "redwingseam/base/Clock.h"
#include "redwingseam/base/RandomSource.h"
#include "redwingseam/node/Decisions.h"
#include "redwingseam/node/EffectSink.h"

#include <utility>

namespace redwingseam::node {

// One VM of the system: `Decisions` with a clock, a random source and a sink. A front end passes in events and
// carries out the effects that the node emits to `sink`. The same events, times and random values give the
// same effects, so several nodes can run in one process under virtual time; docs/LIBRARY.md has an example.
//
// Thread-safe. Effects are emitted on the thread that called `handle`, after all locks have been released.
// An effect may be emitted while another thread is inside `handle`. `clock`, `random` and `sink` must
// outlive the node and be thread-safe themselves.
template<base::Clock Clock, base::RandomSource Random, EffectSink Sink, typename Rules = DefaultRules>
class Node {
public:
    Node(NodeConfig config, Clock& clock, Random& random, Sink& sink)
        : m_clock(clock)
        , m_random(random)
        , m_sink(sink)
        , m_decisions(std::move(config))
    {
    }

    // Contacts the peers and, if this VM is chosen as a watcher, starts to watch the platform's store.
    // Must be called once, before any event.
    void start() { emitAll(m_decisions.start(m_clock.now(), m_random.next())); }

    // Processes an event: CallerRequest, CallerDisconnected, TokensReceived, AttemptEnded, ProbeFailed,
    // LoadReport, CacheEvent, StoreReply, ObjectChanged, PeerMessage or Tick. Every CallerRequest is
    // answered by exactly one Finish or Refuse, unless CallerDisconnected comes first.
    template<typename Event>
    void handle(const Event& event) { emitAll(m_decisions.handle(event, m_clock.now(), m_random.next())); }

    // Refuses new requests from now on with result code Draining. Accepted requests continue.
    void beginDrain() { emitAll(m_decisions.beginDrain(m_clock.now(), m_random.next())); }
    // Returns whether all requests have been answered and all claim records are in the log.
    bool isDrained() { return m_decisions.isDrained(); }

    NodeStatus status() { return m_decisions.status(m_clock.now()); }
    std::shared_ptr<const settings::Tree> settings() { return m_decisions.settings(); }
    // Returns all upstreams that the node knows, whatever their state.
    std::vector<route::UpstreamRecord> upstreams() { return m_decisions.upstreams(); }
    // Returns the burn rates of the error budgets, by rank, objective and window.
    report::BurnRateReport burn() { return m_decisions.burn(m_clock.now()); }
    report::Counters counters() { return m_decisions.counters(); }
    report::LatencySummary latency(base::Rank rank, report::Objective objective) { return m_decisions.latency(rank, objective); }

private:
    void emitAll(EffectList effects)
    {
        for (auto& effect : effects)
            m_sink.emit(std::move(effect));
    }

    Clock& m_clock;
    Random& m_random;
    Sink& m_sink;
    Decisions<Rules> m_decisions;
};

} // namespace redwingseam::node
