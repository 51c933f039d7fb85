#pragma once

#include "node/NodeCoreImpl.h"
#include "redwingseam/node/Decisions.h"

namespace redwingseam::node {

template<typename Policies>
Decisions<Policies>::Decisions(NodeConfig config)
    : m_core(std::make_unique<NodeCore<Policies>>(std::move(config)))
{
}

template<typename Policies>
Decisions<Policies>::~Decisions() = default;

inline Context makeContext(base::Instant now, uint64_t random)
{
    return { now, std::minstd_rand(static_cast<uint32_t>(random)), {} };
}

template<typename Policies>
template<typename Event>
EffectList Decisions<Policies>::run(const Event& event, base::Instant now, uint64_t random)
{
    auto context = makeContext(now, random);
    m_core->handle(event, context);
    return std::move(context.effects);
}

template<typename Policies>
EffectList Decisions<Policies>::start(base::Instant now, uint64_t random)
{
    auto context = makeContext(now, random);
    m_core->start(context);
    return std::move(context.effects);
}

template<typename Policies>
EffectList Decisions<Policies>::beginDrain(base::Instant now, uint64_t random)
{
    auto context = makeContext(now, random);
    m_core->beginDrain(context);
    return std::move(context.effects);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const CallerRequest& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const CallerDisconnected& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const TokensReceived& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const AttemptEnded& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const ProbeFailed& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const route::LoadReport& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const route::CacheEvent& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const store::StoreReply& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const store::ObjectChanged& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const peer::PeerMessage& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
EffectList Decisions<Policies>::handle(const Tick& event, base::Instant now, uint64_t random)
{
    return run(event, now, random);
}

template<typename Policies>
bool Decisions<Policies>::isDrained()
{
    return m_core->isDrained();
}

template<typename Policies>
NodeStatus Decisions<Policies>::status(base::Instant now)
{
    return m_core->status(now);
}

template<typename Policies>
std::shared_ptr<const settings::Tree> Decisions<Policies>::settings()
{
    return m_core->settings();
}

template<typename Policies>
std::vector<route::UpstreamRecord> Decisions<Policies>::upstreams()
{
    return m_core->upstreams();
}

template<typename Policies>
report::BurnRateReport Decisions<Policies>::burn(base::Instant now)
{
    return m_core->recorder().burnRates(now);
}

template<typename Policies>
report::Counters Decisions<Policies>::counters()
{
    return m_core->recorder().counters();
}

template<typename Policies>
report::LatencySummary Decisions<Policies>::latency(base::Rank rank, report::Objective objective)
{
    return m_core->recorder().latency(rank, objective);
}

} // namespace redwingseam::node
