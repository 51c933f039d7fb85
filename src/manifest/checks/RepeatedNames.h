#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

#include <unordered_set>

namespace redwingseam::manifest::checks {

// Names that two entries bear, of which lookups find the first only.
struct RepeatedNames {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        std::unordered_set<std::string> seen;
        auto add = [&](const std::string& entry) {
            if (!seen.insert(entry).second)
                findings.push_back({ FindingKind::Error, entry, "another entry has the same name" });
        };
        for (const auto& route : index.manifest().routes)
            add(entryName(route));
        for (const auto& service : index.manifest().services)
            add(entryName(service));
        for (const auto& account : index.accounts())
            add(entryName(account));
    }
};

static_assert(ManifestCheck<RepeatedNames>);

} // namespace redwingseam::manifest::checks
