#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Limits on what clients send that contradict each other.
struct LimitsOfClients {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        const auto& limits = index.manifest().limits;
        auto report = [&](std::string text) { findings.push_back({ FindingKind::Contradiction, "limits", std::move(text) }); };
        if (limits.idleTimeout < limits.headerTimeout)
            report("the idle timeout is under the header timeout, so that a slow body ends sooner than slow headers");
        if (limits.idleTimeout <= base::Duration {} || limits.headerTimeout <= base::Duration {})
            report("a timeout is 0, so no request arrives in time");
        if (!limits.maxHeaderBytes)
            report("no headers are allowed");
    }
};

static_assert(ManifestCheck<LimitsOfClients>);

} // namespace redwingseam::manifest::checks
