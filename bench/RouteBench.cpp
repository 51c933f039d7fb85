#include "BaselineChoosers.h"
#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "base/SystemClock.h"
#include "node/Pool.h"
#include "route/PrefixHashes.h"
#include "route/SubsetChooser.h"
#include "schedule/FairQueue.h"

#include <cmath>
#include <queue>
#include <set>
#include <string>

namespace redwingseam::bench {

using namespace std::chrono_literals;

namespace {

    constexpr uint32_t slotsEach = 16;
    constexpr size_t vms = 9;

    route::UpstreamRecord upstreamRecord(size_t index)
    {
        return { { "up-" + std::to_string(index) }, route::UpstreamKind::Engine, { "draft@1" }, { "dc" }, "http://u", slotsEach, 1, route::UpstreamState::Live };
    }

    template<typename Choice>
    Choice makeChoice(size_t vm)
    {
        if constexpr (std::is_same_v<Choice, route::SubsetChooser>)
            return Choice({ "vm-" + std::to_string(vm) });
        else
            return Choice();
    }

    struct RouteRun {
        double imbalance = 0;
        double hitRatio = 0;
        double bestHitRatio = 0;
    };

    struct Ending {
        base::Instant at;
        size_t vm;
        size_t upstream;
        uint64_t request;
        bool operator>(const Ending& other) const { return at > other.at; }
    };

    // A trace of prompts of which most share one of 40 long prefixes; service times vary. Load reports
    // come every half second, and are that old. Nine VMs share the upstreams.
    template<typename Choice>
    RouteRun runTrace(size_t upstreams)
    {
        std::vector<node::Pool<schedule::FairQueue, Choice>> pools;
        for (size_t vm = 0; vm < vms; ++vm) {
            pools.emplace_back(makeChoice<Choice>(vm));
            for (size_t i = 0; i < upstreams; ++i)
                pools[vm].upsert(upstreamRecord(i), 0, 1);
        }
        std::minstd_rand random(7);
        std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
        std::vector<uint32_t> running(upstreams, 0);
        std::vector<uint32_t> reported(upstreams, 0);
        std::vector<std::set<uint64_t>> caches(upstreams);
        std::set<uint64_t> seen;
        Samples imbalance;
        uint64_t hits = 0;
        uint64_t bestHits = 0;
        uint64_t total = 0;
        uint64_t nextId = 1;
        for (size_t step = 0; step < 6000; ++step) {
            base::Instant now(step * 10ms);
            while (!endings.empty() && endings.top().at <= now) {
                pools[endings.top().vm].release(upstreamRecord(endings.top().upstream).name, { endings.top().request });
                --running[endings.top().upstream];
                endings.pop();
            }
            if (step % 50 == 0) {
                for (size_t i = 0; i < upstreams * vms; ++i)
                    pools[i % vms].observe(route::LoadReport { upstreamRecord(i / vms).name, reported[i / vms], 0, false });
                reported = running;
            }
            // About 60 % of the capacity, with lengths that vary by a factor of ten.
            auto arrivals = upstreams * slotsEach * 6 / 10 / 275 + (random() % 275 < upstreams * slotsEach * 6 / 10 % 275 ? 1 : 0);
            for (size_t i = 0; i < arrivals; ++i) {
                auto family = random() % 50;
                std::string prompt = family < 40 ? std::string(1024, static_cast<char>('A' + family)) : std::string(1024, 'z') + std::to_string(nextId);
                if (family >= 40)
                    prompt.insert(0, std::to_string(nextId));
                schedule::QueuedWork work { { nextId }, {}, { "c" }, base::Rank::Standard, 50 };
                work.deadline = now + 1h;
                work.prefixHashes = route::prefixHashes(prompt);
                auto vm = nextId % vms;
                pools[vm].push(std::move(work));
                ++nextId;
                auto dispatch = pools[vm].next(now, random);
                if (!dispatch)
                    continue;
                auto upstream = static_cast<size_t>(std::stoul(dispatch->upstream.name.text.substr(3)));
                ++running[upstream];
                auto key = dispatch->work.prefixHashes.back();
                ++total;
                hits += caches[upstream].contains(key) ? 1 : 0;
                bestHits += seen.contains(key) ? 1 : 0;
                caches[upstream].insert(key);
                seen.insert(key);
                endings.push({ now + 500ms + std::chrono::milliseconds(random() % 4500), vm, upstream, dispatch->work.request.value });
            }
            if (step > 1000 && step % 20 == 0) {
                double sum = 0;
                double highest = 0;
                for (auto count : running) {
                    sum += count;
                    highest = std::max(highest, static_cast<double>(count));
                }
                imbalance.add(highest / std::max(1.0, sum / static_cast<double>(upstreams)));
            }
        }
        return { imbalance.sum() / static_cast<double>(imbalance.size()), static_cast<double>(hits) / static_cast<double>(total), static_cast<double>(bestHits) / static_cast<double>(total) };
    }

    // Time of one choice and its release, in nanoseconds.
    template<typename Choice>
    double nanosPerDecision(size_t upstreams)
    {
        static constexpr int decisions = 20'000;
        auto choice = makeChoice<Choice>(1);
        std::vector<route::UpstreamView> views;
        for (size_t i = 0; i < upstreams; ++i)
            views.push_back({ upstreamRecord(i), route::ConcurrencyLimit(slotsEach, 1, 0), 0, false, 0, 0, 0, {} });
        choice.rebuild(views);
        route::PrefixIndex prefixes;
        schedule::QueuedWork work;
        std::minstd_rand random(3);
        uint64_t chosen = 0;
        auto start = base::SystemClock {}.now();
        for (int i = 0; i < decisions; ++i)
            chosen += choice.choose(views, prefixes, work, random).value_or(0);
        auto took = base::SystemClock {}.now() - start;
        // Keeps the loop from being optimised away.
        return static_cast<double>(took.count()) * 1000 / decisions + (chosen == 1 ? 1 : 0);
    }

} // namespace

void benchRoute(FigureReporter& figures)
{
    static constexpr double lowestHitShare = 0.85;
    auto own = runTrace<route::SubsetChooser>(40);
    auto random = runTrace<RandomChooser>(40);
    auto roundRobin = runTrace<RoundRobinChooser>(40);
    auto leastReported = runTrace<LeastReportedChooser>(40);
    figures.add("route.prefix_hit_ratio", own.hitRatio / own.bestHitRatio, "ratio", lowestHitShare, BoundDirection::AtLeast);
    figures.addUnbounded("route.random.prefix_hit_ratio", random.hitRatio / random.bestHitRatio, "ratio");
    figures.add("route.imbalance", own.imbalance, "ratio", std::min(random.imbalance, roundRobin.imbalance), BoundDirection::AtMost);
    figures.addUnbounded("route.random.imbalance", random.imbalance, "ratio");
    figures.addUnbounded("route.round_robin.imbalance", roundRobin.imbalance, "ratio");
    figures.addUnbounded("route.least_reported.imbalance", leastReported.imbalance, "ratio");
    for (size_t upstreams : { 40, 400, 5300 }) {
        auto name = "route." + std::to_string(upstreams) + "_upstreams.ns_per_decision";
        figures.addUnbounded(name, nanosPerDecision<route::SubsetChooser>(upstreams), "ns");
        figures.addUnbounded(name + ".random", nanosPerDecision<RandomChooser>(upstreams), "ns");
    }
    // No faster than the logarithm of the upstreams; a ratio of one run.
    auto growth = nanosPerDecision<route::SubsetChooser>(5300) / nanosPerDecision<route::SubsetChooser>(40);
    figures.add("route.decision_growth", growth, "ratio", std::log(5300) / std::log(40), BoundDirection::AtMost);
}

} // namespace redwingseam::bench
