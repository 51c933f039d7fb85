#pragma once

#include "codec/PeerCodec.h"
#include "fakes/ClusterEvent.h"
#include "fakes/ClusterOptions.h"
#include "fakes/FakeCaller.h"
#include "fakes/FakeClock.h"
#include "fakes/FakeModel.h"
#include "fakes/FakeRandom.h"
#include "fakes/FakeStore.h"
#include "fakes/RecordingSink.h"
#include "node/DecisionsImpl.h"
#include "redwingseam/node/Node.h"
#include "store/ObjectKeys.h"

#include <memory>
#include <queue>
#include <set>

namespace redwingseam::fakes {

// Simulates nodes, upstreams, callers and the platform's store in virtual time, with fault injection.
// All actions are events of one queue; the same seed reproduces the same run.
template<typename Policies = node::DefaultRules>
class FakeCluster {
public:
    using Node = node::Node<FakeClock, FakeRandom, RecordingSink, Policies>;

    explicit FakeCluster(const ClusterOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (size_t index = 0; index < options.nodes; ++index)
            m_vms.push_back({});
        for (size_t index = 0; index < options.nodes; ++index)
            startNode(index);
    }

    FakeClock& clock() { return m_clock; }
    FakeRandom& random() { return m_random; }
    FakeStore& store() { return m_store; }
    Node& node(size_t index) { return *m_vms[index].node; }
    bool isRunning(size_t index) const { return m_vms[index].node != nullptr; }
    std::vector<FakeUpstream>& upstreams() { return m_upstreams; }
    std::vector<FakeCaller>& callers() { return m_callers; }
    uint64_t peerMessages() const { return m_peerMessages; }
    // Bytes of peer messages including their HTTP/2 frames; counted only if `countsBytes` is set.
    uint64_t peerBytes() const { return m_peerBytes; }
    // Tokens that engines have generated, and tokens of prompts and prefixes that they have prefilled.
    uint64_t decodedTokens() const { return m_decodedTokens; }
    uint64_t prefilledTokens() const { return m_prefilledTokens; }
    // Number of requests that watch or list a prefix.
    uint64_t watchCalls() const { return m_watchCalls; }

    // Upstreams
    size_t addUpstream(route::UpstreamKind kind, const std::string& pool, size_t dataCentre, uint32_t slots)
    {
        auto index = m_upstreams.size();
        FakeUpstream upstream;
        upstream.record = { { "up-" + std::to_string(index) }, kind, { pool }, dataCentreName(dataCentre), "http://fake", slots, 1, route::UpstreamState::Live };
        m_upstreams.push_back(std::move(upstream));
        publish(index);
        return index;
    }

    void publish(size_t upstream) { putObject(store::upstreamKey(m_upstreams[upstream].record.name), m_upstreams[upstream].record); }

    void killUpstream(size_t index)
    {
        auto& upstream = m_upstreams[index];
        upstream.isAlive = false;
        ++upstream.crashes;
        upstream.queuedAttempts.clear();
        for (const auto& [key, attempt] : std::exchange(upstream.attempts, {}))
            scheduleNodeEvent(attempt.node, attempt.nodeStartCount, delayTo(attempt.node, upstream), node::AttemptEnded { key.request, key.attempt, node::AttemptEnd::Lost, 0, {} });
    }

    void restartUpstream(size_t index)
    {
        auto& upstream = m_upstreams[index];
        upstream.isAlive = true;
        upstream.isFrozen = false;
        ++upstream.record.incarnation;
        upstream.record.state = route::UpstreamState::Live;
        publish(index);
    }

    void freezeUpstream(size_t index) { m_upstreams[index].isFrozen = true; }

    void unfreezeUpstream(size_t index)
    {
        auto& upstream = m_upstreams[index];
        upstream.isFrozen = false;
        for (const auto& [key, attempt] : upstream.attempts)
            schedule(upstream.tokenGap, key.node, key.nodeStartCount, NextTokenDue { index, upstream.crashes, key });
    }

    // Prompts that contain this text crash every engine that starts to generate from them.
    void setCrashingPrompt(std::string text) { m_crashingPrompt = std::move(text); }

    // Nodes
    void crashNode(size_t index)
    {
        m_vms[index].node.reset();
        for (size_t caller = 0; caller < m_callers.size(); ++caller) {
            auto& state = m_callers[caller];
            if (!state.isOver() && state.node == index && state.nodeStartCount == m_vms[index].startCount)
                schedule(m_options.linkDelay, index, 0, CallerReconnect { caller });
        }
        // Engines detect the closed connection and cancel its attempts.
        for (auto& upstream : m_upstreams)
            removeAttempts(upstream, [&](const AttemptKey& key) { return key.node == index; });
    }

    void startNode(size_t index)
    {
        auto& vm = m_vms[index];
        ++vm.startCount;
        vm.pausedUntil = {};
        vm.watches.clear();
        node::NodeConfig config;
        config.self = vmName(index);
        config.dataCentre = dataCentreOf(index);
        config.region.text = "r" + std::to_string(index % m_options.dataCentres);
        config.peerAddress = std::to_string(index);
        config.incarnation = vm.startCount * 100;
        for (size_t other = 0; other < m_options.nodes; ++other)
            config.seedVms.push_back({ vmName(other), dataCentreOf(other), std::to_string(other), membership::VmState::Live });
        vm.node = std::make_unique<Node>(config, m_clock, m_random, vm.sink);
        vm.node->start();
        executeEffects(index);
        schedule(node::tickInterval, index, vm.startCount, NodeEvent { node::Tick {} });
    }

    // Delays all events of a node, as if its VM were paused.
    void pauseNode(size_t index, base::Duration duration) { m_vms[index].pausedUntil = m_clock.now() + duration; }

    // Faults of the platform and of links
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    void setStoreReplyLoss(uint32_t permille) { m_lostStoreRepliesPermille = permille; }
    void setPartitioned(size_t dataCentre, bool shouldPartition)
    {
        if (shouldPartition)
            m_partitionedDataCentres.insert(dataCentre);
        else
            m_partitionedDataCentres.erase(dataCentre);
    }

    void putObject(const base::ObjectKey& key, store::ObjectValue value) { notifyWatchers(m_store.put(key, std::move(value))); }

    // Callers
    size_t call(size_t node, node::CallerRequest request, bool carriesTokens = true)
    {
        FakeCaller caller;
        caller.request = std::move(request);
        caller.carriesTokens = carriesTokens;
        caller.startedAt = m_clock.now();
        caller.lastTokensAt = m_clock.now();
        m_callers.push_back(std::move(caller));
        send(m_callers.size() - 1, node);
        return m_callers.size() - 1;
    }

    void runFor(base::Duration duration)
    {
        auto until = m_clock.now() + duration;
        while (!m_events.empty() && m_events.top().at <= until)
            step();
        m_clock.moveTo(until);
    }

    bool allFinished() const
    {
        return std::all_of(m_callers.begin(), m_callers.end(), [](const FakeCaller& caller) { return caller.isOver(); });
    }

private:
    static constexpr size_t bytesPerToken = 4;
    // Bytes of one HTTP/2 stream besides the message: headers, data frame header and the response.
    static constexpr size_t frameBytes = 9 + 30 + 9 + 19;

    struct Vm {
        std::unique_ptr<Node> node;
        RecordingSink sink;
        uint64_t startCount = 0;
        base::Instant pausedUntil;
        base::Instant lastPollAt;
        std::set<std::string> watches;
    };

    static base::VmName vmName(size_t index) { return { "vm-" + std::to_string(index) }; }
    static base::DataCentreName dataCentreName(size_t index) { return { "dc-" + std::to_string(index) }; }
    base::DataCentreName dataCentreOf(size_t node) const { return dataCentreName(node % m_options.dataCentres); }
    bool isPartitioned(size_t node) const { return m_partitionedDataCentres.contains(node % m_options.dataCentres); }

    base::Duration delayTo(size_t node, const FakeUpstream& upstream) const
    {
        return upstream.record.dataCentre == dataCentreOf(node) ? m_options.linkDelay : m_options.farDelay;
    }

    void schedule(base::Duration after, size_t node, uint64_t nodeStartCount, ClusterAction action)
    {
        m_events.push({ m_clock.now() + after, m_nextSequence++, node, nodeStartCount, std::move(action) });
    }

    void scheduleNodeEvent(size_t node, uint64_t nodeStartCount, base::Duration after, NodeEvent event) { schedule(after, node, nodeStartCount, ClusterAction { std::move(event) }); }

    void step()
    {
        auto event = m_events.top();
        m_events.pop();
        m_clock.moveTo(event.at);
        std::visit([&](auto& action) { perform(event, action); }, event.action);
    }

    void perform(const ClusterEvent& event, const NodeEvent& nodeEvent)
    {
        auto& vm = m_vms[event.node];
        bool isCurrent = vm.node && vm.startCount == event.nodeStartCount;
        if (!isCurrent)
            return;
        if (vm.pausedUntil > m_clock.now()) {
            m_events.push({ vm.pausedUntil, m_nextSequence++, event.node, event.nodeStartCount, event.action });
            return;
        }
        std::visit([&](const auto& alternative) { vm.node->handle(alternative); }, nodeEvent);
        executeEffects(event.node);
        if (std::holds_alternative<node::Tick>(nodeEvent)) {
            schedule(node::tickInterval, event.node, event.nodeStartCount, NodeEvent { node::Tick {} });
            pollUpstreamsAndWatches(event.node);
        }
    }

    void perform(const ClusterEvent& event, const NextTokenDue& due)
    {
        auto& upstream = m_upstreams[due.upstream];
        auto found = upstream.attempts.find(due.attempt);
        bool isRunning = upstream.isAlive && !upstream.isFrozen && upstream.crashes == due.crashes && found != upstream.attempts.end();
        if (!isRunning)
            return;
        auto& attempt = found->second;
        const auto& generation = attempt.generation;
        if (!m_crashingPrompt.empty() && generation.prompt.find(m_crashingPrompt) != std::string::npos) {
            killUpstream(due.upstream);
            return;
        }
        auto delay = delayTo(attempt.node, upstream);
        if (attempt.nextIndex >= generation.maxTokens) {
            scheduleNodeEvent(attempt.node, attempt.nodeStartCount, delay, node::AttemptEnded { generation.request, generation.attempt, node::AttemptEnd::Complete, attempt.nextIndex, {} });
            auto key = found->first;
            removeAttempts(upstream, [&](const AttemptKey& other) { return other == key; });
            return;
        }
        auto token = fakeToken(generation.prompt, generation.seed, attempt.nextIndex);
        scheduleNodeEvent(attempt.node, attempt.nodeStartCount, delay, node::TokensReceived { generation.request, generation.attempt, attempt.nextIndex, { token } });
        if (m_random.chance(m_options.repeatedTokensPermille))
            scheduleNodeEvent(attempt.node, attempt.nodeStartCount, delay + 3 * upstream.tokenGap, node::TokensReceived { generation.request, generation.attempt, attempt.nextIndex, { token } });
        ++attempt.nextIndex;
        ++m_decodedTokens;
        schedule(nextTokenGap(upstream), event.node, event.nodeStartCount, due);
    }

    void perform(const ClusterEvent& event, const StoreCallArrival& arrival)
    {
        bool isUnreachable = m_isStoreDown || isPartitioned(event.node);
        auto reply = isUnreachable ? store::StoreReply { arrival.call, store::CallOutcome::Unknown, {}, std::nullopt } : m_store.apply(arrival.call);
        bool hasChanged = reply.outcome == store::CallOutcome::Done && arrival.call.kind != store::CallKind::Read;
        if (hasChanged)
            notifyWatchers(*m_store.find(arrival.call.key));
        if (m_random.chance(m_lostStoreRepliesPermille))
            reply = { arrival.call, store::CallOutcome::Unknown, {}, std::nullopt };
        auto wait = reply.outcome == store::CallOutcome::Unknown ? base::Duration(std::chrono::seconds(2)) : m_options.storeDelay;
        scheduleNodeEvent(event.node, event.nodeStartCount, wait, std::move(reply));
    }

    void perform(const ClusterEvent&, const CallerReconnect& reconnect)
    {
        auto& caller = m_callers[reconnect.caller];
        if (caller.isOver())
            return;
        for (size_t step = 1; step <= m_vms.size(); ++step) {
            auto next = (caller.node + step) % m_vms.size();
            if (!m_vms[next].node)
                continue;
            ++caller.reconnects;
            send(reconnect.caller, next);
            return;
        }
        schedule(std::chrono::milliseconds(200), 0, 0, reconnect);
    }

    // Sends the caller's request to a node under a new request id.
    void send(size_t index, size_t node)
    {
        auto& caller = m_callers[index];
        caller.node = node;
        caller.nodeStartCount = m_vms[node].startCount;
        caller.request.id = { m_nextRequestId++ };
        caller.request.resume = caller.resumePoint;
        caller.request.resumeTokenIds = caller.resumePoint && caller.carriesTokens ? caller.received : std::vector<uint32_t> {};
        m_callerOf[caller.request.id] = index;
        if (m_vms[node].node)
            scheduleNodeEvent(node, caller.nodeStartCount, m_options.linkDelay, caller.request);
        else
            schedule(m_options.linkDelay, node, 0, CallerReconnect { index });
    }

    void notifyWatchers(const store::ObjectChanged& changed)
    {
        if (m_isStoreDown)
            return;
        for (size_t index = 0; index < m_vms.size(); ++index) {
            for (const auto& prefix : m_vms[index].watches) {
                if (!changed.key.text.starts_with(prefix) || isPartitioned(index))
                    continue;
                // Each change ends one long poll and starts the next.
                ++m_watchCalls;
                scheduleNodeEvent(index, m_vms[index].startCount, m_options.storeDelay, changed);
            }
        }
    }

    // Probes every upstream and lists every watched prefix again, at most every 500 ms. Watches are long
    // polls, and the listing delivers the changes that a watch has missed.
    void pollUpstreamsAndWatches(size_t index)
    {
        auto& vm = m_vms[index];
        static constexpr base::Duration interval = std::chrono::milliseconds(500);
        if (m_clock.now() - vm.lastPollAt < interval)
            return;
        vm.lastPollAt = m_clock.now();
        for (auto& upstream : m_upstreams) {
            if (upstream.record.state == route::UpstreamState::Gone)
                continue;
            auto delay = delayTo(index, upstream);
            bool isReachable = upstream.isAlive && !upstream.isFrozen && (!isPartitioned(index) || upstream.record.dataCentre == dataCentreOf(index));
            if (isReachable)
                scheduleNodeEvent(index, vm.startCount, 2 * delay, route::LoadReport { upstream.record.name, static_cast<uint32_t>(upstream.attempts.size() - upstream.queuedAttempts.size()), static_cast<uint32_t>(upstream.queuedAttempts.size()), false });
            else
                scheduleNodeEvent(index, vm.startCount, std::chrono::seconds(1), node::ProbeFailed { upstream.record.name });
        }
        if (m_isStoreDown || isPartitioned(index))
            return;
        for (const auto& prefix : vm.watches) {
            for (const auto& object : m_store.list(prefix))
                scheduleNodeEvent(index, vm.startCount, m_options.storeDelay, object);
        }
    }

    void executeEffects(size_t index)
    {
        for (auto& effect : m_vms[index].sink.take())
            std::visit([&](auto& alternative) { execute(index, alternative); }, effect);
    }

    FakeUpstream* upstreamNamed(const base::UpstreamName& name)
    {
        for (auto& upstream : m_upstreams) {
            if (upstream.record.name == name)
                return &upstream;
        }
        return nullptr;
    }

    bool canReach(size_t node, const FakeUpstream& upstream) const
    {
        bool isSameDataCentre = upstream.record.dataCentre == dataCentreOf(node);
        return upstream.isAlive && (isSameDataCentre || !isPartitioned(node));
    }

    void execute(size_t node, const node::StartGeneration& effect)
    {
        auto* upstream = upstreamNamed(effect.upstream.name);
        auto startCount = m_vms[node].startCount;
        if (!canReach(node, *upstream)) {
            scheduleNodeEvent(node, startCount, m_options.linkDelay, node::AttemptEnded { effect.request, effect.attempt, node::AttemptEnd::Unreachable, 0, {} });
            return;
        }
        AttemptKey key { node, startCount, effect.request, effect.attempt };
        upstream->attempts[key] = { node, startCount, effect, static_cast<uint32_t>(effect.prefixIds.size()) };
        m_prefilledTokens += effect.prompt.size() / bytesPerToken + effect.prefixIds.size();
        bool hasSlot = upstream->attempts.size() - upstream->queuedAttempts.size() <= upstream->record.slots;
        if (hasSlot)
            startAttempt(*upstream, key);
        else
            enqueueAttempt(*upstream, key);
    }

    void startAttempt(FakeUpstream& upstream, const AttemptKey& key)
    {
        auto index = static_cast<size_t>(&upstream - m_upstreams.data());
        schedule(delayTo(key.node, upstream) + upstream.tokenGap, key.node, key.nodeStartCount, NextTokenDue { index, upstream.crashes, key });
    }

    // Orders by rank, and by arrival within a rank.
    void enqueueAttempt(FakeUpstream& upstream, const AttemptKey& key)
    {
        auto rank = upstream.attempts.at(key).generation.rank;
        auto position = std::find_if(upstream.queuedAttempts.begin(), upstream.queuedAttempts.end(), [&](const AttemptKey& other) { return upstream.attempts.at(other).generation.rank > rank; });
        upstream.queuedAttempts.insert(position, key);
    }

    // Removes attempts and gives their slots to queued attempts.
    template<typename Predicate>
    void removeAttempts(FakeUpstream& upstream, Predicate isDropped)
    {
        std::erase_if(upstream.queuedAttempts, isDropped);
        std::erase_if(upstream.attempts, [&](const auto& item) { return isDropped(item.first); });
        while (!upstream.queuedAttempts.empty() && upstream.attempts.size() - upstream.queuedAttempts.size() < upstream.record.slots) {
            auto key = upstream.queuedAttempts.front();
            upstream.queuedAttempts.erase(upstream.queuedAttempts.begin());
            startAttempt(upstream, key);
        }
    }

    base::Duration nextTokenGap(const FakeUpstream& upstream)
    {
        static constexpr int64_t stallFactor = 10;
        return m_random.chance(upstream.stallPermille) ? upstream.tokenGap * stallFactor : upstream.tokenGap;
    }

    void execute(size_t node, const node::CallService& effect)
    {
        auto* upstream = upstreamNamed(effect.upstream.name);
        auto startCount = m_vms[node].startCount;
        auto end = node::AttemptEnd::Complete;
        claim::ServiceResponse answer;
        if (!canReach(node, *upstream)) {
            end = node::AttemptEnd::Unreachable;
        } else {
            auto execution = ++upstream->executions[effect.key ? effect.key->text : std::string()];
            ++m_serviceExecutions[effect.key ? effect.key->text : std::string()];
            answer = { 200, "run " + std::to_string(execution) };
            // The service has executed the call, but its reply is lost.
            if (m_random.chance(m_lostServiceRepliesPermille))
                end = node::AttemptEnd::Lost;
        }
        scheduleNodeEvent(node, startCount, 2 * delayTo(node, *upstream) + std::chrono::milliseconds(30), node::AttemptEnded { effect.request, effect.attempt, end, 0, std::move(answer) });
    }

    void execute(size_t node, const node::CancelAttempt& effect)
    {
        if (auto* upstream = upstreamNamed(effect.upstream))
            removeAttempts(*upstream, [&](const AttemptKey& key) { return key == AttemptKey { node, m_vms[node].startCount, effect.request, effect.attempt }; });
    }

    FakeCaller* callerOf(base::RequestId id)
    {
        auto found = m_callerOf.find(id);
        if (found == m_callerOf.end())
            return nullptr;
        auto& caller = m_callers[found->second];
        // The connection of the caller's earlier requests is closed, so their replies are dropped.
        return caller.request.id == id && !caller.isOver() ? &caller : nullptr;
    }

    void execute(size_t, const node::SendTokens& effect)
    {
        auto* caller = callerOf(effect.request);
        if (!caller)
            return;
        uint32_t index = effect.firstIndex;
        for (const auto& token : effect.tokens) {
            bool isRight = index == caller->received.size() && token == fakeToken(caller->request.content, effect.resumePoint.seed, index);
            caller->wrongTokens += isRight ? 0 : 1;
            caller->received.push_back(token.id);
            ++index;
        }
        caller->resumePoint = effect.resumePoint;
        auto tokenGap = m_clock.now() - caller->lastTokensAt;
        if (!caller->firstTokenAfter)
            caller->firstTokenAfter = m_clock.now() - caller->startedAt;
        else
            caller->longestTokenGap = std::max(caller->longestTokenGap, tokenGap);
        caller->lastTokensAt = m_clock.now();
    }

    void execute(size_t, const node::Finish& effect)
    {
        auto* caller = callerOf(effect.request);
        if (!caller)
            return;
        caller->finish = effect;
        caller->endedAt = m_clock.now();
    }

    void execute(size_t, const node::Refuse& effect)
    {
        auto* caller = callerOf(effect.request);
        if (!caller)
            return;
        caller->refusal = effect;
        caller->endedAt = m_clock.now();
    }

    void execute(size_t node, const store::StoreCall& effect) { schedule(m_options.storeDelay, node, m_vms[node].startCount, StoreCallArrival { effect }); }

    void execute(size_t node, const store::WatchObjects& effect)
    {
        auto& vm = m_vms[node];
        if (!effect.isWanted) {
            vm.watches.erase(effect.prefix);
            return;
        }
        vm.watches.insert(effect.prefix);
        if (m_isStoreDown || isPartitioned(node))
            return;
        for (const auto& object : m_store.list(effect.prefix))
            scheduleNodeEvent(node, vm.startCount, m_options.storeDelay, object);
    }

    void execute(size_t node, const peer::SendPeerMessage& effect)
    {
        auto target = static_cast<size_t>(std::stoul(effect.address));
        bool isRemote = dataCentreOf(node) != dataCentreOf(target);
        bool isLost = m_random.chance(m_options.lostMessagesPermille) || (isRemote && (isPartitioned(node) || isPartitioned(target)));
        ++m_peerMessages;
        if (m_options.countsBytes)
            m_peerBytes += codec::formatMessage(effect.message).size() + frameBytes;
        if (!isLost)
            scheduleNodeEvent(target, m_vms[target].startCount, isRemote ? m_options.farDelay : m_options.linkDelay, effect.message);
    }

public:
    void setServiceReplyLoss(uint32_t permille) { m_lostServiceRepliesPermille = permille; }
    // Number of executions for each idempotency key, over all services.
    const std::map<std::string, uint32_t>& serviceExecutions() const { return m_serviceExecutions; }

private:
    ClusterOptions m_options;
    FakeClock m_clock;
    FakeRandom m_random;
    FakeStore m_store;
    std::vector<Vm> m_vms;
    std::vector<FakeUpstream> m_upstreams;
    std::vector<FakeCaller> m_callers;
    std::map<base::RequestId, size_t> m_callerOf;
    std::map<std::string, uint32_t> m_serviceExecutions;
    std::priority_queue<ClusterEvent, std::vector<ClusterEvent>, std::greater<>> m_events;
    std::set<size_t> m_partitionedDataCentres;
    std::string m_crashingPrompt;
    uint64_t m_nextSequence = 0;
    uint64_t m_nextRequestId = 1;
    uint64_t m_peerMessages = 0;
    uint64_t m_peerBytes = 0;
    uint64_t m_decodedTokens = 0;
    uint64_t m_prefilledTokens = 0;
    uint64_t m_watchCalls = 0;
    uint32_t m_lostStoreRepliesPermille = 0;
    uint32_t m_lostServiceRepliesPermille = 0;
    bool m_isStoreDown = false;
};

} // namespace redwingseam::fakes
