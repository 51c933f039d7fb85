#pragma once

#include "codec/PeerCodec.h"
#include "fakes/FakeCaller.h"
#include "fakes/FakeClock.h"
#include "fakes/FakeModel.h"
#include "fakes/FakeRandom.h"
#include "fakes/FakeStore.h"
#include "fakes/RecordingSink.h"
#include "fakes/WorldEvent.h"
#include "fakes/WorldOptions.h"
#include "node/DecisionsImpl.h"
#include "redwingseam/node/Node.h"
#include "store/ObjectKeys.h"

#include <memory>
#include <queue>
#include <set>

namespace redwingseam::fakes {

// Nodes, upstreams, callers and the platform's store under virtual time, with switches for their
// faults. Everything that happens is an event in one queue; the same seed gives the same run.
template<typename Policies = node::DefaultRules>
class FakeWorld {
public:
    using Node = node::Node<FakeClock, FakeRandom, RecordingSink, Policies>;

    explicit FakeWorld(const WorldOptions& options)
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
    // Bytes of peer messages with their HTTP/2 frames; counted only where the options ask for it.
    uint64_t peerBytes() const { return m_peerBytes; }
    // Tokens that engines have generated, and that they have read in as prompts and prefixes.
    uint64_t decodedTokens() const { return m_decoded; }
    uint64_t prefilledTokens() const { return m_prefilled; }
    // Requests to watch or list a prefix.
    uint64_t watchCalls() const { return m_watchCalls; }

    // Upstreams.
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
        ++upstream.deaths;
        upstream.waiting.clear();
        for (const auto& [key, flight] : std::exchange(upstream.flights, {}))
            toNode(flight.node, flight.nodeStart, delayTo(flight.node, upstream), node::AttemptEnded { key.request, key.attempt, node::AttemptEnd::Lost, 0, {} });
    }

    void reviveUpstream(size_t index)
    {
        auto& upstream = m_upstreams[index];
        upstream.isAlive = true;
        upstream.isFrozen = false;
        ++upstream.record.incarnation;
        upstream.record.state = route::UpstreamState::Live;
        publish(index);
    }

    void freezeUpstream(size_t index) { m_upstreams[index].isFrozen = true; }

    void thawUpstream(size_t index)
    {
        auto& upstream = m_upstreams[index];
        upstream.isFrozen = false;
        for (const auto& [key, flight] : upstream.flights)
            schedule(upstream.tokenGap, key.node, key.nodeStart, EngineStep { index, upstream.deaths, key });
    }

    // Prompts with this text end every engine that starts on them.
    void setDeadlyPrompt(std::string text) { m_deadlyPrompt = std::move(text); }

    // Nodes.
    void crashNode(size_t index)
    {
        m_vms[index].node.reset();
        for (size_t caller = 0; caller < m_callers.size(); ++caller) {
            auto& state = m_callers[caller];
            if (!state.isOver() && state.node == index && state.nodeStart == m_vms[index].starts)
                schedule(m_options.linkDelay, index, 0, CallerReturn { caller });
        }
        // Engines notice that the connection is gone.
        for (auto& upstream : m_upstreams)
            dropFlights(upstream, [&](const FlightKey& key) { return key.node == index; });
    }

    void startNode(size_t index)
    {
        auto& vm = m_vms[index];
        ++vm.starts;
        vm.pausedUntil = {};
        vm.watches.clear();
        node::NodeConfig config;
        config.self = vmName(index);
        config.dataCentre = dataCentreOf(index);
        config.region.text = "r" + std::to_string(index % m_options.dataCentres);
        config.peerAddress = std::to_string(index);
        config.incarnation = vm.starts * 100;
        for (size_t other = 0; other < m_options.nodes; ++other)
            config.seedVms.push_back({ vmName(other), dataCentreOf(other), std::to_string(other), membership::VmState::Live });
        vm.node = std::make_unique<Node>(config, m_clock, m_random, vm.sink);
        vm.node->start();
        drain(index);
        schedule(node::tickInterval, index, vm.starts, NodeEvent { node::Tick {} });
    }

    // Holds back everything for a node, as if its VM were paused.
    void pauseNode(size_t index, base::Duration duration) { m_vms[index].pausedUntil = m_clock.now() + duration; }

    // Faults of the platform and of links.
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    void setLosesAnswers(uint32_t permille) { m_lostAnswersPermille = permille; }
    void setCut(size_t dataCentre, bool isCut)
    {
        if (isCut)
            m_cut.insert(dataCentre);
        else
            m_cut.erase(dataCentre);
    }

    void putObject(const base::ObjectKey& key, store::ObjectValue value) { announce(m_store.put(key, std::move(value))); }

    // Callers.
    size_t call(size_t node, node::CallerRequest request, bool carriesTokens = true)
    {
        FakeCaller caller;
        caller.request = std::move(request);
        caller.carriesTokens = carriesTokens;
        caller.startedAt = m_clock.now();
        caller.lastPieceAt = m_clock.now();
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

    bool allOver() const
    {
        return std::all_of(m_callers.begin(), m_callers.end(), [](const FakeCaller& caller) { return caller.isOver(); });
    }

private:
    static constexpr size_t bytesPerToken = 4;
    // Headers, data and the answer of one stream.
    static constexpr size_t frameBytes = 9 + 30 + 9 + 19;

    struct Vm {
        std::unique_ptr<Node> node;
        RecordingSink sink;
        uint64_t starts = 0;
        base::Instant pausedUntil;
        base::Instant probedAt;
        std::set<std::string> watches;
    };

    static base::VmName vmName(size_t index) { return { "vm-" + std::to_string(index) }; }
    static base::DataCentreName dataCentreName(size_t index) { return { "dc-" + std::to_string(index) }; }
    base::DataCentreName dataCentreOf(size_t node) const { return dataCentreName(node % m_options.dataCentres); }
    bool isCutOff(size_t node) const { return m_cut.contains(node % m_options.dataCentres); }

    base::Duration delayTo(size_t node, const FakeUpstream& upstream) const
    {
        return upstream.record.dataCentre == dataCentreOf(node) ? m_options.linkDelay : m_options.farDelay;
    }

    void schedule(base::Duration after, size_t node, uint64_t nodeStart, WorldAction action)
    {
        m_events.push({ m_clock.now() + after, m_order++, node, nodeStart, std::move(action) });
    }

    void toNode(size_t node, uint64_t nodeStart, base::Duration after, NodeEvent event) { schedule(after, node, nodeStart, WorldAction { std::move(event) }); }

    void step()
    {
        auto event = m_events.top();
        m_events.pop();
        m_clock.moveTo(event.at);
        std::visit([&](auto& action) { perform(event, action); }, event.action);
    }

    void perform(const WorldEvent& event, const NodeEvent& nodeEvent)
    {
        auto& vm = m_vms[event.node];
        bool isCurrent = vm.node && vm.starts == event.nodeStart;
        if (!isCurrent)
            return;
        if (vm.pausedUntil > m_clock.now()) {
            m_events.push({ vm.pausedUntil, m_order++, event.node, event.nodeStart, event.action });
            return;
        }
        std::visit([&](const auto& alternative) { vm.node->handle(alternative); }, nodeEvent);
        drain(event.node);
        if (std::holds_alternative<node::Tick>(nodeEvent)) {
            schedule(node::tickInterval, event.node, event.nodeStart, NodeEvent { node::Tick {} });
            probe(event.node);
        }
    }

    void perform(const WorldEvent& event, const EngineStep& engineStep)
    {
        auto& upstream = m_upstreams[engineStep.upstream];
        auto found = upstream.flights.find(engineStep.flight);
        bool isRunning = upstream.isAlive && !upstream.isFrozen && upstream.deaths == engineStep.deaths && found != upstream.flights.end();
        if (!isRunning)
            return;
        auto& flight = found->second;
        const auto& order = flight.order;
        if (!m_deadlyPrompt.empty() && order.prompt.find(m_deadlyPrompt) != std::string::npos) {
            killUpstream(engineStep.upstream);
            return;
        }
        auto delay = delayTo(flight.node, upstream);
        if (flight.next >= order.maxTokens) {
            toNode(flight.node, flight.nodeStart, delay, node::AttemptEnded { order.request, order.attempt, node::AttemptEnd::Complete, flight.next, {} });
            auto key = found->first;
            dropFlights(upstream, [&](const FlightKey& other) { return other == key; });
            return;
        }
        auto token = fakeToken(order.prompt, order.seed, flight.next);
        toNode(flight.node, flight.nodeStart, delay, node::TokensReceived { order.request, order.attempt, flight.next, { token } });
        if (m_random.hits(m_options.repeatedTokensPermille))
            toNode(flight.node, flight.nodeStart, delay + 3 * upstream.tokenGap, node::TokensReceived { order.request, order.attempt, flight.next, { token } });
        ++flight.next;
        ++m_decoded;
        schedule(nextGap(upstream), event.node, event.nodeStart, engineStep);
    }

    void perform(const WorldEvent& event, const StoreArrival& arrival)
    {
        bool isUnreachable = m_isStoreDown || isCutOff(event.node);
        auto reply = isUnreachable ? store::PlatformReply { arrival.call, store::CallOutcome::Unknown, {}, std::nullopt } : m_store.apply(arrival.call);
        bool hasChanged = reply.outcome == store::CallOutcome::Done && arrival.call.kind != store::CallKind::Read;
        if (hasChanged)
            announce(*m_store.find(arrival.call.key));
        if (m_random.hits(m_lostAnswersPermille))
            reply = { arrival.call, store::CallOutcome::Unknown, {}, std::nullopt };
        auto wait = reply.outcome == store::CallOutcome::Unknown ? base::Duration(std::chrono::seconds(2)) : m_options.storeDelay;
        toNode(event.node, event.nodeStart, wait, std::move(reply));
    }

    void perform(const WorldEvent&, const CallerReturn& callerReturn)
    {
        auto& caller = m_callers[callerReturn.caller];
        if (caller.isOver())
            return;
        for (size_t step = 1; step <= m_vms.size(); ++step) {
            auto next = (caller.node + step) % m_vms.size();
            if (!m_vms[next].node)
                continue;
            ++caller.reconnects;
            send(callerReturn.caller, next);
            return;
        }
        schedule(std::chrono::milliseconds(200), 0, 0, callerReturn);
    }

    // Gives the caller's request to a node under a new id.
    void send(size_t index, size_t node)
    {
        auto& caller = m_callers[index];
        caller.node = node;
        caller.nodeStart = m_vms[node].starts;
        caller.request.id = { m_nextRequest++ };
        caller.request.resume = caller.point;
        caller.request.resumeTokenIds = caller.point && caller.carriesTokens ? caller.received : std::vector<uint32_t> {};
        m_callerOf[caller.request.id] = index;
        if (m_vms[node].node)
            toNode(node, caller.nodeStart, m_options.linkDelay, caller.request);
        else
            schedule(m_options.linkDelay, node, 0, CallerReturn { index });
    }

    void announce(const store::ObjectChanged& changed)
    {
        if (m_isStoreDown)
            return;
        for (size_t index = 0; index < m_vms.size(); ++index) {
            for (const auto& prefix : m_vms[index].watches) {
                if (!changed.key.text.starts_with(prefix) || isCutOff(index))
                    continue;
                // The long poll that brought the change, and the next one.
                ++m_watchCalls;
                toNode(index, m_vms[index].starts, m_options.storeDelay, changed);
            }
        }
    }

    // Watches are long polls: every second each one catches up with what it has missed.
    void probe(size_t index)
    {
        auto& vm = m_vms[index];
        static constexpr base::Duration interval = std::chrono::milliseconds(500);
        if (m_clock.now() - vm.probedAt < interval)
            return;
        vm.probedAt = m_clock.now();
        for (auto& upstream : m_upstreams) {
            if (upstream.record.state == route::UpstreamState::Gone)
                continue;
            auto delay = delayTo(index, upstream);
            bool isReachable = upstream.isAlive && !upstream.isFrozen && (!isCutOff(index) || upstream.record.dataCentre == dataCentreOf(index));
            if (isReachable)
                toNode(index, vm.starts, 2 * delay, route::LoadReport { upstream.record.name, static_cast<uint32_t>(upstream.flights.size() - upstream.waiting.size()), static_cast<uint32_t>(upstream.waiting.size()), false });
            else
                toNode(index, vm.starts, std::chrono::seconds(1), node::ProbeFailed { upstream.record.name });
        }
        if (m_isStoreDown || isCutOff(index))
            return;
        for (const auto& prefix : vm.watches) {
            for (const auto& object : m_store.list(prefix))
                toNode(index, vm.starts, m_options.storeDelay, object);
        }
    }

    void drain(size_t index)
    {
        for (auto& effect : m_vms[index].sink.take())
            std::visit([&](auto& alternative) { carryOut(index, alternative); }, effect);
    }

    FakeUpstream* findUpstream(const base::UpstreamName& name)
    {
        for (auto& upstream : m_upstreams) {
            if (upstream.record.name == name)
                return &upstream;
        }
        return nullptr;
    }

    bool canReach(size_t node, const FakeUpstream& upstream) const
    {
        bool isNear = upstream.record.dataCentre == dataCentreOf(node);
        return upstream.isAlive && (isNear || !isCutOff(node));
    }

    void carryOut(size_t node, const node::StartGeneration& effect)
    {
        auto* upstream = findUpstream(effect.upstream.name);
        auto start = m_vms[node].starts;
        if (!canReach(node, *upstream)) {
            toNode(node, start, m_options.linkDelay, node::AttemptEnded { effect.request, effect.attempt, node::AttemptEnd::Unreachable, 0, {} });
            return;
        }
        FlightKey key { node, start, effect.request, effect.attempt };
        upstream->flights[key] = { node, start, effect, static_cast<uint32_t>(effect.prefixIds.size()) };
        m_prefilled += effect.prompt.size() / bytesPerToken + effect.prefixIds.size();
        bool hasSlot = upstream->flights.size() - upstream->waiting.size() <= upstream->record.slots;
        if (hasSlot)
            startFlight(*upstream, key);
        else
            insertWaiting(*upstream, key);
    }

    void startFlight(FakeUpstream& upstream, const FlightKey& key)
    {
        auto index = static_cast<size_t>(&upstream - m_upstreams.data());
        schedule(delayTo(key.node, upstream) + upstream.tokenGap, key.node, key.nodeStart, EngineStep { index, upstream.deaths, key });
    }

    // A higher rank goes first; within a rank, whoever came first.
    void insertWaiting(FakeUpstream& upstream, const FlightKey& key)
    {
        auto rank = upstream.flights.at(key).order.rank;
        auto place = std::find_if(upstream.waiting.begin(), upstream.waiting.end(), [&](const FlightKey& other) { return upstream.flights.at(other).order.rank > rank; });
        upstream.waiting.insert(place, key);
    }

    // Takes flights away and gives their slots to those that wait.
    template<typename Predicate>
    void dropFlights(FakeUpstream& upstream, Predicate isDropped)
    {
        std::erase_if(upstream.waiting, isDropped);
        std::erase_if(upstream.flights, [&](const auto& item) { return isDropped(item.first); });
        while (!upstream.waiting.empty() && upstream.flights.size() - upstream.waiting.size() < upstream.record.slots) {
            auto key = upstream.waiting.front();
            upstream.waiting.erase(upstream.waiting.begin());
            startFlight(upstream, key);
        }
    }

    base::Duration nextGap(const FakeUpstream& upstream)
    {
        static constexpr int64_t stallFactor = 10;
        return m_random.hits(upstream.stallPermille) ? upstream.tokenGap * stallFactor : upstream.tokenGap;
    }

    void carryOut(size_t node, const node::CallService& effect)
    {
        auto* upstream = findUpstream(effect.upstream.name);
        auto start = m_vms[node].starts;
        auto end = node::AttemptEnd::Complete;
        claim::Answer answer;
        if (!canReach(node, *upstream)) {
            end = node::AttemptEnd::Unreachable;
        } else {
            auto run = ++upstream->runs[effect.key ? effect.key->text : std::string()];
            ++m_serviceRuns[effect.key ? effect.key->text : std::string()];
            answer = { 200, "run " + std::to_string(run) };
            // The connection breaks on the way back now and then.
            if (m_random.hits(m_lostServiceAnswersPermille))
                end = node::AttemptEnd::Lost;
        }
        toNode(node, start, 2 * delayTo(node, *upstream) + std::chrono::milliseconds(30), node::AttemptEnded { effect.request, effect.attempt, end, 0, std::move(answer) });
    }

    void carryOut(size_t node, const node::CancelAttempt& effect)
    {
        if (auto* upstream = findUpstream(effect.upstream))
            dropFlights(*upstream, [&](const FlightKey& key) { return key == FlightKey { node, m_vms[node].starts, effect.request, effect.attempt }; });
    }

    FakeCaller* callerOf(base::RequestId id)
    {
        auto found = m_callerOf.find(id);
        if (found == m_callerOf.end())
            return nullptr;
        auto& caller = m_callers[found->second];
        // An answer to an earlier try of the same caller reaches a connection that is closed.
        return caller.request.id == id && !caller.isOver() ? &caller : nullptr;
    }

    void carryOut(size_t, const node::SendTokens& effect)
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
        caller->point = effect.resumePoint;
        auto silence = m_clock.now() - caller->lastPieceAt;
        if (!caller->firstTokenAfter)
            caller->firstTokenAfter = m_clock.now() - caller->startedAt;
        else
            caller->longestSilence = std::max(caller->longestSilence, silence);
        caller->lastPieceAt = m_clock.now();
    }

    void carryOut(size_t, const node::Finish& effect)
    {
        auto* caller = callerOf(effect.request);
        if (!caller)
            return;
        caller->finish = effect;
        caller->endedAt = m_clock.now();
    }

    void carryOut(size_t, const node::Refuse& effect)
    {
        auto* caller = callerOf(effect.request);
        if (!caller)
            return;
        caller->refusal = effect;
        caller->endedAt = m_clock.now();
    }

    void carryOut(size_t node, const store::PlatformCall& effect) { schedule(m_options.storeDelay, node, m_vms[node].starts, StoreArrival { effect }); }

    void carryOut(size_t node, const store::WatchObjects& effect)
    {
        auto& vm = m_vms[node];
        if (!effect.isWanted) {
            vm.watches.erase(effect.prefix);
            return;
        }
        vm.watches.insert(effect.prefix);
        if (m_isStoreDown || isCutOff(node))
            return;
        for (const auto& object : m_store.list(effect.prefix))
            toNode(node, vm.starts, m_options.storeDelay, object);
    }

    void carryOut(size_t node, const peer::SendPeerMessage& effect)
    {
        auto target = static_cast<size_t>(std::stoul(effect.address));
        bool isFar = dataCentreOf(node) != dataCentreOf(target);
        bool isLost = m_random.hits(m_options.lostMessagesPermille) || (isFar && (isCutOff(node) || isCutOff(target)));
        ++m_peerMessages;
        if (m_options.countsBytes)
            m_peerBytes += codec::formatMessage(effect.message).size() + frameBytes;
        if (!isLost)
            toNode(target, m_vms[target].starts, isFar ? m_options.farDelay : m_options.linkDelay, effect.message);
    }

public:
    void setLosesServiceAnswers(uint32_t permille) { m_lostServiceAnswersPermille = permille; }
    // How often each key ran, over all services.
    const std::map<std::string, uint32_t>& serviceRuns() const { return m_serviceRuns; }

private:
    WorldOptions m_options;
    FakeClock m_clock;
    FakeRandom m_random;
    FakeStore m_store;
    std::vector<Vm> m_vms;
    std::vector<FakeUpstream> m_upstreams;
    std::vector<FakeCaller> m_callers;
    std::map<base::RequestId, size_t> m_callerOf;
    std::map<std::string, uint32_t> m_serviceRuns;
    std::priority_queue<WorldEvent, std::vector<WorldEvent>, std::greater<>> m_events;
    std::set<size_t> m_cut;
    std::string m_deadlyPrompt;
    uint64_t m_order = 0;
    uint64_t m_nextRequest = 1;
    uint64_t m_peerMessages = 0;
    uint64_t m_peerBytes = 0;
    uint64_t m_decoded = 0;
    uint64_t m_prefilled = 0;
    uint64_t m_watchCalls = 0;
    uint32_t m_lostAnswersPermille = 0;
    uint32_t m_lostServiceAnswersPermille = 0;
    bool m_isStoreDown = false;
};

} // namespace redwingseam::fakes
