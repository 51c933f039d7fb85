#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Routes that no request reaches, by the same lookup as the nodes use.
struct HiddenRoutes {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        for (const auto& route : index.manifest().routes) {
            if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
                findings.push_back({ FindingKind::Error, entryName(route), "the prefix \"" + route.prefix + "\" does not begin and end with a slash" });
                continue;
            }
            const auto* matched = index.route(route.host, route.prefix);
            if (matched != &route)
                findings.push_back({ FindingKind::NeverMatches, entryName(route), "hidden by " + entryName(*matched) + ", which has the same host and prefix" });
        }
    }
};

static_assert(ManifestCheck<HiddenRoutes>);

} // namespace redwingseam::manifest::checks
