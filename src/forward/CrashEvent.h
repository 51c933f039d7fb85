#pragma once

#include "forward/PartCrash.h"

#include <set>
#include <vector>

namespace redwingseam::forward {

// One failure of an upstream, with all requests that were lost in it. Only one of them can be the cause.
struct CrashEvent {
    base::UpstreamName upstream;
    base::Instant lostAt {};
    // With the possible causes as their parts; never empty.
    std::vector<PartCrash> lost;

    // Returns the possible causes, each once.
    std::set<base::PromptPartHash> parts() const
    {
        std::set<base::PromptPartHash> all;
        for (const auto& crash : lost)
            all.insert(crash.parts.begin(), crash.parts.end());
        return all;
    }
};

} // namespace redwingseam::forward
