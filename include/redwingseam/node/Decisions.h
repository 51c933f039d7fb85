#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/node/AttemptEnded.h"
#include "redwingseam/node/CallerDisconnected.h"
#include "redwingseam/node/CallerRequest.h"
#include "redwingseam/node/Effect.h"
#include "redwingseam/node/NodeConfig.h"
#include "redwingseam/node/NodeStatus.h"
#include "redwingseam/node/ProbeFailed.h"
#include "redwingseam/node/Tick.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/peer/PeerMessage.h"
#include "redwingseam/report/BurnRateReport.h"
#include "redwingseam/report/Counters.h"
#include "redwingseam/report/LatencySummary.h"
#include "redwingseam/report/Objective.h"
#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"
#include "redwingseam/settings/Tree.h"
#include "redwingseam/store/ObjectChanged.h"
#include "redwingseam/store/StoreReply.h"

#include <memory>
#include <vector>

namespace redwingseam::node {

struct DefaultRules;
template<typename Rules>
class NodeCore;

// Decision logic of a node, as a function of events, time and random values. Each call takes the current time
// and a random 64-bit value, and returns the effects that the front end carries out, in order. It does no I/O
// and starts no threads. `Node` combines it with a clock, a random source and a sink; use `Decisions` directly
// only in a front end that owns these itself. Its private NodeCore holds the state. Thread-safe; no lock is
// held when a call returns.
template<typename Rules = DefaultRules>
class Decisions {
public:
    explicit Decisions(NodeConfig);
    ~Decisions();
    Decisions(const Decisions&) = delete;
    Decisions& operator=(const Decisions&) = delete;

    EffectList start(base::Instant now, uint64_t random);
    EffectList beginDrain(base::Instant now, uint64_t random);
    EffectList handle(const CallerRequest&, base::Instant now, uint64_t random);
    EffectList handle(const CallerDisconnected&, base::Instant now, uint64_t random);
    EffectList handle(const TokensReceived&, base::Instant now, uint64_t random);
    EffectList handle(const AttemptEnded&, base::Instant now, uint64_t random);
    EffectList handle(const ProbeFailed&, base::Instant now, uint64_t random);
    EffectList handle(const route::LoadReport&, base::Instant now, uint64_t random);
    EffectList handle(const route::CacheEvent&, base::Instant now, uint64_t random);
    EffectList handle(const store::StoreReply&, base::Instant now, uint64_t random);
    EffectList handle(const store::ObjectChanged&, base::Instant now, uint64_t random);
    EffectList handle(const peer::PeerMessage&, base::Instant now, uint64_t random);
    EffectList handle(const Tick&, base::Instant now, uint64_t random);

    bool isDrained();
    NodeStatus status(base::Instant now);
    std::shared_ptr<const settings::Tree> settings();
    std::vector<route::UpstreamRecord> upstreams();
    report::BurnRateReport burn(base::Instant now);
    report::Counters counters();
    report::LatencySummary latency(base::Rank, report::Objective);

private:
    template<typename Event>
    EffectList run(const Event&, base::Instant now, uint64_t random);

    std::unique_ptr<NodeCore<Rules>> m_core;
};

extern template class Decisions<DefaultRules>;

} // namespace redwingseam::node
