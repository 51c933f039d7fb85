#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Attempts that a route allows and its kind does not use, or needs and does not get.
struct RouteAttempts {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        for (const auto& route : index.manifest().routes) {
            if (route.kind == RouteKind::Stream && route.isResumable && route.maxAttempts < 2)
                findings.push_back({ FindingKind::Contradiction, entryName(route), "a stream that may resume has only one attempt" });
            if (!route.isRepeatable() && route.maxAttempts > 1)
                findings.push_back({ FindingKind::NeverMatches, entryName(route), "only the first attempt is used, because the request may not be repeated" });
            if (route.kind != RouteKind::Stream && route.isResumable)
                findings.push_back({ FindingKind::NeverMatches, entryName(route), "only streams resume" });
        }
    }
};

static_assert(ManifestCheck<RouteAttempts>);

} // namespace redwingseam::manifest::checks
