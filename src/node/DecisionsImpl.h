#pragma once

#include "node/NodeCoreImpl.h"
#include "redwingseam/node/Decisions.h"

namespace redwingseam::node {

template<typename Rules>
Decisions<Rules>::Decisions(NodeConfig config)
    : m_core(std::make_unique<NodeCore<Rules>>(std::move(config)))
{
}

template<typename Rules>
Decisions<Rules>::~Decisions() = default;

inline CallContext makeCallContext(base::Instant now, uint64_t random)
{
    return { now, std::minstd_rand(static_cast<uint32_t>(random)), {} };
}

template<typename Rules>
template<typename Event>
EffectList Decisions<Rules>::run(const Event& event, base::Instant now, uint64_t random)
{
    auto context = makeCallContext(now, random);
    m_core->handle(event, context);
    return std::move(context.effects);
}

template<typename Rules>
EffectList Decisions<Rules>::start(base::Instant now, uint64_t random)
{
    auto context = makeCallContext(now, random);
    m_core->start(context);
    return std::move(context.effects);
}

template<typename Rules>
EffectList Decisions<Rules>::beginDrain(base::Instant now, uint64_t random)
{
    auto context = makeCallContext(now, random);
    m_core->beginDrain(context);
    return std::move(context.effects);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const CallerRequest& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const CallerDisconnected& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const TokensReceived& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const AttemptEnded& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const ProbeFailed& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const route::LoadReport& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const route::CacheEvent& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const store::StoreReply& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const store::ObjectChanged& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const peer::PeerMessage& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
EffectList Decisions<Rules>::handle(const Tick& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Rules>
bool Decisions<Rules>::isDrained()
{
    return m_core->isDrained();
}

template<typename Rules>
NodeStatus Decisions<Rules>::status(base::Instant now)
{
    return m_core->status(now);
}

template<typename Rules>
std::shared_ptr<const settings::Tree> Decisions<Rules>::settings()
{
    return m_core->settings();
}

template<typename Rules>
std::vector<route::UpstreamRecord> Decisions<Rules>::upstreams()
{
    return m_core->upstreams();
}

template<typename Rules>
report::BurnRateReport Decisions<Rules>::burn(base::Instant now)
{
    return m_core->recorder().burnRates(now);
}

template<typename Rules>
report::Counters Decisions<Rules>::counters()
{
    return m_core->recorder().counters();
}

template<typename Rules>
report::LatencySummary Decisions<Rules>::latency(base::Rank rank, report::Objective objective)
{
    return m_core->recorder().latency(rank, objective);
}

} // namespace redwingseam::node
