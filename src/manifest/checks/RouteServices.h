#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Routes whose requests no service can run.
struct RouteServices {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        for (const auto& route : index.manifest().routes) {
            uint64_t total = 0;
            for (const auto& weighted : route.services) {
                total += weighted.weight;
                if (!index.service(weighted.service))
                    findings.push_back({ FindingKind::Error, entryName(route), "service \"" + weighted.service.text + "\" is not listed" });
                else if (!weighted.weight)
                    findings.push_back({ FindingKind::NeverMatches, entryName(route), "service \"" + weighted.service.text + "\" has the weight 0" });
            }
            if (!total)
                findings.push_back({ FindingKind::Error, entryName(route), route.services.empty() ? "no service" : "all weights are 0" });
        }
    }
};

static_assert(ManifestCheck<RouteServices>);

} // namespace redwingseam::manifest::checks
