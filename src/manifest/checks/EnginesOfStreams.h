#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Streams that may resume from a backup which their engines cannot keep.
struct EnginesOfStreams {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        for (const auto& service : index.manifest().services) {
            if (!service.engine)
                continue;
            if (service.engine->supportsBackups && service.engine->backupLifetime <= base::Duration {})
                findings.push_back({ FindingKind::Contradiction, entryName(service), "backups are kept for 0 s" });
            if (!service.engine->kvCapacityTokens)
                findings.push_back({ FindingKind::Contradiction, entryName(service), "the engines have no memory for a request" });
        }
    }
};

static_assert(ManifestCheck<EnginesOfStreams>);

} // namespace redwingseam::manifest::checks
