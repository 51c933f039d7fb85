#pragma once

#include "fakes/FleetFixture.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace redwingseam::fakes {

// Replays load on a plain service in virtual time: many nodes, each with its own fleet and without news of the others, before
// upstreams that run a few requests at once, queue some and refuse the rest.
struct PlainFloodRun {
    struct Upstream {
        // When each request that it has accepted ends, in order.
        std::deque<base::Instant> ends;
        unsigned accepted = 0;
        bool refusesAll = false;
    };
    struct Request {
        std::unique_ptr<forward::Exchange> exchange;
        base::Instant arrivedAt {};
        base::Instant answeredAt {};
        base::Instant refusedAt {};
        base::Duration retryAfter {};
        // When the attempt that is in flight ends, and how.
        base::Instant attemptEndsAt {};
        forward::AttemptOutcome outcome {};
    };

    static constexpr base::Duration step = std::chrono::milliseconds(5);
    static constexpr base::Duration serviceTime = std::chrono::milliseconds(60);
    static constexpr size_t slots = 6;
    static constexpr size_t queuePlaces = 24;
    static constexpr unsigned upstreamCount = 6;
    static constexpr unsigned nodeCount = 40;
    // Requests that the upstreams run in a second.
    static constexpr double capacity = 600;

    std::vector<std::unique_ptr<FleetFixture>> nodes;
    std::map<base::UpstreamName, Upstream> upstreams;
    std::deque<Request> requests;
    std::mt19937_64 random { 7 };
    unsigned arrivals = 0;

    explicit PlainFloodRun(bool boundsCrowding = true)
    {
        for (unsigned i = 0; i < nodeCount; ++i) {
            auto& node = *nodes.emplace_back(std::make_unique<FleetFixture>());
            node.exchangePolicy.boundsCrowding = boundsCrowding;
            for (unsigned number = 0; number < upstreamCount; ++number)
                node.addUpstream("d" + std::to_string(number), "desk", "dc-a");
            node.update();
            node.fleet.setNodeCount(nodeCount);
        }
    }

    base::Instant now() const { return nodes.front()->clock.now(); }

    void apply(Request& request, const forward::Step& given)
    {
        if (given.kind == forward::StepKind::Send) {
            ++arrivals;
            auto& upstream = upstreams[given.send.placement.target.id];
            while (!upstream.ends.empty() && upstream.ends.front() <= now())
                upstream.ends.pop_front();
            if (upstream.refusesAll || upstream.ends.size() >= slots + queuePlaces) {
                request.outcome = forward::AttemptOutcome::NotRun;
                request.attemptEndsAt = now() + step;
                return;
            }
            // The place of the request that ends `slots` before it becomes free.
            auto startsAt = upstream.ends.size() < slots ? now() : upstream.ends[upstream.ends.size() - slots];
            upstream.ends.push_back(startsAt + serviceTime);
            ++upstream.accepted;
            request.outcome = forward::AttemptOutcome::Completed;
            request.attemptEndsAt = upstream.ends.back();
        } else if (given.kind == forward::StepKind::Refuse) {
            request.refusedAt = now();
            request.retryAfter = given.retryAfter;
            request.exchange.reset();
        } else if (given.kind == forward::StepKind::Deliver) {
            request.answeredAt = now();
            request.exchange.reset();
        }
    }

    void arrive()
    {
        auto& node = *nodes[random() % nodes.size()];
        auto& request = requests.emplace_back();
        request.arrivedAt = now();
        request.exchange = std::make_unique<forward::Exchange>(node.makeRequest("/book/x"), node.fleet, node.queue, node.crashes, node.origins, node.exchangePolicy);
        apply(request, request.exchange->begin(now(), random()));
    }

    // Lets `perSecond` requests arrive in each second of `duration`.
    void run(base::Duration duration, double perSecond)
    {
        double owed = 0;
        for (auto until = now() + duration; now() < until;) {
            for (owed += perSecond * std::chrono::duration<double>(step).count(); owed >= 1; --owed)
                arrive();
            for (auto& node : nodes)
                node->advance(step);
            for (auto& request : requests) {
                if (!request.exchange)
                    continue;
                if (request.attemptEndsAt == base::Instant {})
                    apply(request, request.exchange->tick(now(), random()));
                else if (now() >= request.attemptEndsAt)
                    apply(request, request.exchange->attemptEnded(request.outcome, std::exchange(request.attemptEndsAt, {}), random()));
            }
        }
    }

    size_t answeredBetween(base::Instant from, base::Instant until) const
    {
        return static_cast<size_t>(std::count_if(requests.begin(), requests.end(), [&](const auto& request) { return request.answeredAt >= from && request.answeredAt < until; }));
    }
    size_t refusedOfThoseSince(base::Instant from) const
    {
        return static_cast<size_t>(std::count_if(requests.begin(), requests.end(), [&](const auto& request) { return request.arrivedAt >= from && request.refusedAt != base::Instant {}; }));
    }
};

} // namespace redwingseam::fakes
