#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Times of a route that cannot all be kept.
struct RouteTimes {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        auto millis = [](base::Duration duration) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms"; };
        for (const auto& route : index.manifest().routes) {
            auto report = [&](std::string text) { findings.push_back({ FindingKind::Contradiction, entryName(route), std::move(text) }); };
            if (route.timeout <= base::Duration {})
                report("the timeout is 0, so every request ends at once");
            if (route.latencyObjective > route.timeout)
                report("the latency objective of " + millis(route.latencyObjective) + " is over the timeout of " + millis(route.timeout));
            if (route.kind == RouteKind::Stream && route.gapObjective > route.timeout)
                report("the gap objective of " + millis(route.gapObjective) + " is over the timeout of " + millis(route.timeout));
            // Each attempt but the last one is given the latency objective.
            auto earlier = std::chrono::duration<double>(route.latencyObjective) * (static_cast<double>(route.maxAttempts) - 1);
            bool fits = earlier < route.timeout;
            if (route.kind == RouteKind::Idempotent && !fits)
                report(std::to_string(route.maxAttempts) + " attempts of " + millis(route.latencyObjective) + " do not fit into the timeout of " + millis(route.timeout));
        }
    }
};

static_assert(ManifestCheck<RouteTimes>);

} // namespace redwingseam::manifest::checks
