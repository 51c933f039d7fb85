#include "BaselineChoosers.h"
#include "Benches.h"
#include "FigureReporter.h"
#include "Samples.h"
#include "ThreadCpuClock.h"
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

    constexpr uint32_t slotsPerUpstream = 16;
    constexpr size_t vmCount = 9;

    route::UpstreamRecord upstreamRecord(size_t index)
    {
        return { { "up-" + std::to_string(index) }, route::UpstreamKind::Engine, { "draft@1" }, { "dc" }, "http://u", slotsPerUpstream, 1, route::UpstreamState::Live };
    }

    template<typename ChooserType>
    ChooserType makeChooser(size_t vm)
    {
        if constexpr (std::is_same_v<ChooserType, route::SubsetChooser>)
            return ChooserType({ "vm-" + std::to_string(vm) });
        else
            return ChooserType();
    }

    struct RouteRun {
        double imbalance = 0;
        double hitRatio = 0;
        double bestHitRatio = 0;
    };

    struct Completion {
        base::Instant at;
        size_t vm;
        size_t upstream;
        uint64_t request;
        bool operator>(const Completion& other) const { return at > other.at; }
    };

    // Runs a trace of prompts, most of which share one of 40 long prefixes, with varying service times.
    // Nine VMs share the upstreams. Load reports arrive every 500 ms and are 500 ms old.
    template<typename ChooserType>
    RouteRun runTrace(size_t upstreams)
    {
        std::vector<node::Pool<schedule::FairQueue, ChooserType>> pools;
        for (size_t vm = 0; vm < vmCount; ++vm) {
            pools.emplace_back(makeChooser<ChooserType>(vm));
            for (size_t i = 0; i < upstreams; ++i)
                pools[vm].upsert(upstreamRecord(i), 0, 1);
        }
        std::minstd_rand random(7);
        std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
        std::vector<uint32_t> running(upstreams, 0);
        std::vector<uint32_t> reported(upstreams, 0);
        std::vector<std::set<uint64_t>> caches(upstreams);
        std::set<uint64_t> seen;
        Samples imbalance;
        uint64_t hits = 0;
        uint64_t bestHits = 0;
        uint64_t requests = 0;
        uint64_t nextId = 1;
        for (size_t step = 0; step < 6000; ++step) {
            base::Instant now(step * 10ms);
            while (!completions.empty() && completions.top().at <= now) {
                pools[completions.top().vm].release(upstreamRecord(completions.top().upstream).name, { completions.top().request });
                --running[completions.top().upstream];
                completions.pop();
            }
            if (step % 50 == 0) {
                for (size_t i = 0; i < upstreams * vmCount; ++i)
                    pools[i % vmCount].observe(route::LoadReport { upstreamRecord(i / vmCount).name, reported[i / vmCount], 0, false });
                reported = running;
            }
            // The load is about 60 % of the capacity; service times vary by a factor of ten.
            auto arrivals = upstreams * slotsPerUpstream * 6 / 10 / 275 + (random() % 275 < upstreams * slotsPerUpstream * 6 / 10 % 275 ? 1 : 0);
            for (size_t i = 0; i < arrivals; ++i) {
                auto prefixGroup = random() % 50;
                std::string prompt = prefixGroup < 40 ? std::string(1024, static_cast<char>('A' + prefixGroup)) : std::string(1024, 'z') + std::to_string(nextId);
                if (prefixGroup >= 40)
                    prompt.insert(0, std::to_string(nextId));
                schedule::QueuedWork work { { nextId }, {}, { "c" }, base::Rank::Standard, 50 };
                work.deadline = now + 1h;
                work.prefixHashes = route::prefixHashes(prompt);
                auto vm = nextId % vmCount;
                pools[vm].push(std::move(work));
                ++nextId;
                auto dispatch = pools[vm].next(now, random);
                if (!dispatch)
                    continue;
                auto upstream = static_cast<size_t>(std::stoul(dispatch->upstream.name.text.substr(3)));
                ++running[upstream];
                auto key = dispatch->work.prefixHashes.back();
                ++requests;
                hits += caches[upstream].contains(key) ? 1 : 0;
                bestHits += seen.contains(key) ? 1 : 0;
                caches[upstream].insert(key);
                seen.insert(key);
                completions.push({ now + 500ms + std::chrono::milliseconds(random() % 4500), vm, upstream, dispatch->work.request.value });
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
        return { imbalance.sum() / static_cast<double>(imbalance.size()), static_cast<double>(hits) / static_cast<double>(requests), static_cast<double>(bestHits) / static_cast<double>(requests) };
    }

    // Returns the processor time of one choice in nanoseconds.
    template<typename ChooserType>
    double nanosPerDecision(size_t upstreams)
    {
        static constexpr int decisions = 20'000;
        auto chooser = makeChooser<ChooserType>(1);
        std::vector<route::UpstreamView> views;
        for (size_t i = 0; i < upstreams; ++i)
            views.push_back({ upstreamRecord(i), route::ConcurrencyLimit(slotsPerUpstream, 1, 0), 0, false, 0, 0, 0, {} });
        chooser.rebuild(views);
        route::PrefixIndex prefixes;
        schedule::QueuedWork work;
        std::minstd_rand random(3);
        uint64_t chosen = 0;
        auto start = ThreadCpuClock {}.now();
        for (int i = 0; i < decisions; ++i)
            chosen += chooser.choose(views, prefixes, work, random).value_or(0);
        auto elapsed = ThreadCpuClock {}.now() - start;
        // Using `chosen` prevents the compiler from removing the loop.
        return static_cast<double>(elapsed.count()) / decisions + (chosen == 1 ? 1 : 0);
    }

} // namespace

void benchRoute(FigureReporter& figures)
{
    static constexpr double minHitShare = 0.85;
    auto subset = runTrace<route::SubsetChooser>(40);
    auto random = runTrace<RandomChooser>(40);
    auto roundRobin = runTrace<RoundRobinChooser>(40);
    auto leastReported = runTrace<LeastReportedChooser>(40);
    figures.add("route.prefix_hit_ratio", subset.hitRatio / subset.bestHitRatio, "ratio", minHitShare, BoundDirection::AtLeast);
    figures.addUnbounded("route.random.prefix_hit_ratio", random.hitRatio / random.bestHitRatio, "ratio");
    figures.add("route.imbalance", subset.imbalance, "ratio", std::min(random.imbalance, roundRobin.imbalance), BoundDirection::AtMost);
    figures.addUnbounded("route.random.imbalance", random.imbalance, "ratio");
    figures.addUnbounded("route.round_robin.imbalance", roundRobin.imbalance, "ratio");
    figures.addUnbounded("route.least_reported.imbalance", leastReported.imbalance, "ratio");
    for (size_t upstreams : { 40, 400, 5300 }) {
        auto name = "route." + std::to_string(upstreams) + "_upstreams.ns_per_decision";
        figures.addUnbounded(name, nanosPerDecision<route::SubsetChooser>(upstreams), "ns");
        figures.addUnbounded(name + ".random", nanosPerDecision<RandomChooser>(upstreams), "ns");
    }
    // Decision time must not grow faster than the logarithm of the number of upstreams. The ratio is from one run, in which
    // either part may be preempted.
    auto growth = nanosPerDecision<route::SubsetChooser>(5300) / nanosPerDecision<route::SubsetChooser>(40);
    figures.add("route.decision_growth", growth, "ratio", std::log(5300) / std::log(40), BoundDirection::AtMost);
}

} // namespace redwingseam::bench
