#pragma once

#include "fakes/FleetFixture.h"

#include <list>

namespace redwingseam::fakes {

// Many exchanges in virtual time beside events in any order: attempts that end in every way, probes, changes of the list
// of upstreams and manifests that add and remove services and routes. Records how the exchanges end.
struct ExchangeRun {
    static constexpr base::Duration tickInterval = std::chrono::milliseconds(20);
    static constexpr uint32_t actionCount = 8;

    FleetFixture fixture;

    ExchangeRun() { fixture.addEngines(); }

    // Carries out the action that `word` encodes, then lets one to eight ticks pass.
    void apply(uint32_t word)
    {
        auto detail = word / actionCount;
        switch (word % actionCount) {
        case 0:
        case 1:
            begin(detail);
            break;
        case 2:
            endAttempt(detail);
            break;
        case 3:
            deliverEvent(detail);
            break;
        case 4:
            changeUpstreams(detail);
            break;
        case 5:
            changeManifest(detail);
            break;
        case 6:
            m_isReachable = detail % 2;
            break;
        case 7:
            for (const auto& instance : fixture.instances)
                fixture.fleet.suspect(instance, detail % 2 ? fleet::SuspicionCause::AtCapacity : fleet::SuspicionCause::Unreachable, now());
            refuseWork(detail / 2);
            break;
        }
        for (uint32_t i = 0; i <= detail / 64 % 8; ++i)
            tick();
    }

    // Lets time pass until every exchange must have ended.
    void finish()
    {
        static constexpr base::Duration longestTimeout = std::chrono::seconds(25);
        for (auto until = now() + longestTimeout + tickInterval; now() < until;)
            tick();
        m_cases.clear();
    }

    size_t begun() const { return m_begun; }
    size_t finalSteps() const { return m_finalSteps; }
    // How long after its deadline the last exchange ended, or zero if each ended before.
    base::Duration latestEnd() const { return m_latestEnd; }
    bool areQueuesEmpty()
    {
        return fixture.queue.with({ "engines" }, [](const forward::ServiceQueue& queue) { return queue.isEmpty(); });
    }

private:
    struct Case {
        std::unique_ptr<forward::Exchange> exchange;
        base::Instant deadline {};
        uint64_t nextEvent = 1;
        bool isProbing = false;
        bool isSent = false;
    };

    base::Instant now() const { return fixture.clock.now(); }

    void begin(uint32_t detail)
    {
        static constexpr std::array paths { "/stream/x", "/stream/x", "/read/x", "/book/x" };
        const auto* path = paths[detail % paths.size()];
        if (!fixture.index->route("h", path))
            return;
        auto request = fixture.makeRequest(path);
        request.retries.slack = detail % 3 ? 1000 : 0;
        request.retries.ratio = 0;
        // Clients repeat requests, which can be quarantined.
        if (detail % 5 == 0)
            request.fingerprint.value = 1;
        request.clientTimeout = std::chrono::milliseconds(500 * (1 + detail % 40));
        auto& added = m_cases.emplace_back();
        added.deadline = request.arrivedAt + std::min(request.clientTimeout, request.route->timeout);
        added.exchange = std::make_unique<forward::Exchange>(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        ++m_begun;
        execute(added, added.exchange->begin(now(), m_random++));
        removeEnded();
    }

    void endAttempt(uint32_t detail)
    {
        auto* chosen = choose(detail, [](const Case& each) { return each.isSent; });
        if (!chosen)
            return;
        // The kept attempt fails, or is the one that ends.
        if (chosen->exchange->isAttemptKept() && detail % 3 == 0) {
            chosen->exchange->keptAttemptEnded(forward::AttemptOutcome::LostBeforeResponse, now());
            return;
        }
        if (chosen->exchange->isAttemptKept() && detail % 3 == 1)
            chosen->exchange->keptAttemptGoesOn(now());
        auto outcome = static_cast<forward::AttemptOutcome>(detail / 16 % forward::attemptOutcomeCount);
        chosen->isProbing = false;
        chosen->isSent = false;
        bool isBackupRefusal = outcome == forward::AttemptOutcome::NotRun && detail % 2;
        execute(*chosen, isBackupRefusal ? chosen->exchange->backupRefused(now(), m_random++) : chosen->exchange->attemptEnded(outcome, now(), m_random++));
        removeEnded();
    }

    void deliverEvent(uint32_t detail)
    {
        auto* chosen = choose(detail, [](const Case& each) { return each.isSent && each.exchange->request().route->kind == manifest::RouteKind::Stream; });
        if (!chosen)
            return;
        // Either of two attempts may be the first to go on, or the kept one is lost.
        if (chosen->exchange->isAttemptKept() && detail % 3 == 0)
            chosen->exchange->keptAttemptGoesOn(now());
        else if (chosen->exchange->isAttemptKept() && detail % 3 == 1)
            chosen->exchange->keptAttemptEnded(forward::AttemptOutcome::LostDuringResponse, now());
        chosen->exchange->recordActivity(now());
        chosen->exchange->recordEvent(chosen->nextEvent++, now());
        chosen->exchange->recordHeadersSent();
    }

    // Lets some upstreams ask for a pause, of up to all of them, or say that they are leaving.
    void refuseWork(uint32_t detail)
    {
        for (size_t i = 0; i < fixture.instances.size(); ++i) {
            if (detail % 4 == 0 || (detail + i) % 5 == 1)
                fixture.fleet.deferRequests(fixture.instances[i], std::chrono::milliseconds(20 * (1 + detail % 64)), now());
            else if ((detail + i) % 9 == 1)
                fixture.fleet.recordLeaving(fixture.instances[i], now());
        }
    }

    // Removes one upstream or adds one.
    void changeUpstreams(uint32_t detail)
    {
        ++m_random;
        if (detail % 3 && !fixture.instances.empty())
            fixture.instances.erase(fixture.instances.begin() + static_cast<long>(detail / 3 % fixture.instances.size()));
        else
            fixture.addUpstream("added-" + std::to_string(m_random), detail % 2 ? "desk" : "engines", detail % 4 < 2 ? "dc-a" : "dc-b", m_random);
        fixture.update(detail % 7 ? base::Duration {} : std::chrono::seconds(1));
    }

    // Puts a manifest in force that lacks a route, a service or its engines, or has no weights.
    void changeManifest(uint32_t detail)
    {
        auto manifest = FleetFixture::makeManifest();
        switch (detail % 5) {
        case 0:
            break;
        case 1:
            manifest.routes.erase(manifest.routes.begin() + static_cast<long>(detail / 5 % manifest.routes.size()));
            break;
        case 2:
            manifest.services.erase(manifest.services.begin() + static_cast<long>(detail / 5 % manifest.services.size()));
            break;
        case 3:
            manifest.services.front().engine.reset();
            break;
        case 4:
            for (auto& route : manifest.routes)
                route.services.front().weight = 0;
            break;
        }
        fixture.index = std::make_shared<const manifest::ManifestIndex>(std::move(manifest));
    }

    template<typename Predicate>
    Case* choose(uint32_t detail, Predicate&& isEligible)
    {
        std::vector<Case*> eligible;
        for (auto& each : m_cases) {
            if (isEligible(each))
                eligible.push_back(&each);
        }
        return eligible.empty() ? nullptr : eligible[detail % eligible.size()];
    }

    void tick()
    {
        fixture.advance(tickInterval);
        for (auto& each : m_cases) {
            if (std::exchange(each.isProbing, false))
                execute(each, each.exchange->probeEnded(m_isReachable, now(), m_random++));
            if (each.exchange)
                execute(each, each.exchange->tick(now(), m_random++));
        }
        removeEnded();
    }

    void execute(Case& which, const forward::Step& step)
    {
        switch (step.kind) {
        case forward::StepKind::Wait:
            return;
        case forward::StepKind::Probe:
            which.isProbing = true;
            return;
        case forward::StepKind::GoBack:
            which.isSent = true;
            which.isProbing = false;
            return;
        case forward::StepKind::Send:
            which.isSent = true;
            which.isProbing = false;
            if (m_random % 2)
                which.exchange->recordConnecting();
            return;
        case forward::StepKind::Deliver:
        case forward::StepKind::Refuse:
        case forward::StepKind::Fail:
        case forward::StepKind::TimeOut:
            ++m_finalSteps;
            m_latestEnd = std::max(m_latestEnd, now() - which.deadline);
            which.exchange.reset();
            return;
        }
    }

    void removeEnded()
    {
        m_cases.remove_if([](const Case& each) { return !each.exchange; });
    }

    std::list<Case> m_cases;
    uint64_t m_random = 1;
    size_t m_begun = 0;
    size_t m_finalSteps = 0;
    base::Duration m_latestEnd {};
    bool m_isReachable = true;
};

} // namespace redwingseam::fakes
