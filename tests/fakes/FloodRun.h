#pragma once

#include "fakes/FleetFixture.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

namespace redwingseam::fakes {

// Replays load on one node in virtual time: exchanges against engines that read one prompt after another and then stream.
struct FloodRun {
    struct Request {
        std::unique_ptr<forward::Exchange> exchange;
        base::Instant arrivedAt {};
        base::Rank rank = base::Rank::Standard;
        std::string client;
        base::Instant dispatchedAt {};
        base::Instant firstEventAt {};
        base::Instant endsAt {};
        base::Instant refusedAt {};
        base::Duration retryAfter {};
        bool isEnded = false;
    };

    static constexpr base::Duration step = std::chrono::milliseconds(20);
    static constexpr uint64_t promptTokens = 8000;
    // 8 tokens a millisecond.
    static constexpr base::Duration prefillTime = std::chrono::milliseconds(1000);
    static constexpr base::Duration streamTime = std::chrono::milliseconds(4000);
    // Of the stream route of FleetFixture.
    static constexpr base::Duration objective = std::chrono::milliseconds(4000);

    FleetFixture fixture;
    std::deque<Request> requests;
    // When each engine has read all prompts that it was sent.
    std::map<base::UpstreamName, base::Instant> readUntil;
    uint64_t random = 1;

    explicit FloodRun(unsigned engines)
    {
        for (unsigned i = 0; i < engines; ++i)
            fixture.addUpstream("e" + std::to_string(i), "engines", "dc-a");
        fixture.update();
        fixture.fleet.setNodeCount(1);
    }

    base::Instant now() const { return fixture.clock.now(); }

    void arrive(base::Rank rank, const std::string& client = "account")
    {
        auto request = fixture.makeRequest("/stream/x");
        request.rank = rank;
        request.client.text = client;
        auto& added = requests.emplace_back();
        added.exchange = std::make_unique<forward::Exchange>(request, fixture.fleet, fixture.queue, fixture.crashes, fixture.origins, fixture.exchangePolicy);
        added.arrivedAt = now();
        added.rank = rank;
        added.client = client;
        apply(added, added.exchange->begin(now(), ++random * 7919));
    }

    // Lets a client leave.
    void leave(Request& request)
    {
        request.exchange.reset();
        request.isEnded = true;
    }

    void apply(Request& request, const forward::Step& given)
    {
        if (given.kind == forward::StepKind::Send) {
            request.dispatchedAt = now();
            auto& until = readUntil[given.send.placement.target.id];
            until = std::max(until, now()) + prefillTime;
            request.firstEventAt = until;
            request.endsAt = until + streamTime;
        } else if (given.kind == forward::StepKind::Refuse || given.kind == forward::StepKind::TimeOut) {
            request.refusedAt = now();
            request.retryAfter = given.retryAfter;
            leave(request);
        }
    }

    // Advances by `duration`; calls `arrivals` before each step.
    template<typename Function>
    void run(base::Duration duration, Function&& arrivals)
    {
        for (auto until = now() + duration; now() < until;) {
            arrivals();
            fixture.advance(step);
            for (auto& request : requests) {
                if (!request.isEnded)
                    advance(request);
            }
        }
    }

    void advance(Request& request)
    {
        if (request.dispatchedAt == base::Instant {}) {
            apply(request, request.exchange->tick(now(), ++random * 7919));
            return;
        }
        if (now() >= request.firstEventAt)
            request.exchange->recordEvent(1, now());
        if (now() < request.endsAt)
            return;
        request.exchange->attemptEnded(forward::AttemptOutcome::Completed, now(), 1);
        leave(request);
    }

    template<typename Predicate>
    size_t count(Predicate&& predicate) const
    {
        return static_cast<size_t>(std::count_if(requests.begin(), requests.end(), predicate));
    }
    static bool isOnTime(const Request& request) { return request.firstEventAt != base::Instant {} && request.firstEventAt - request.arrivedAt <= objective; }
    static bool isRefused(const Request& request) { return request.refusedAt != base::Instant {}; }
};

} // namespace redwingseam::fakes
