#pragma once

#include "manifest/ManifestState.h"
#include "redwingseam/base/Mutex.h"

namespace redwingseam::manifest {

// The newest manifest known to the node. Its version never decreases. Thread-safe.
class ManifestHolder {
public:
    // Applies the manifest returned by a linearizable read that started at `readBegan`. Ignores a manifest that is
    // older than the current one and leaves `confirmedAt` unchanged then. Returns whether the current version changed.
    bool update(Manifest, std::string text, base::Instant readBegan);
    // Records that a read that started at `readBegan` still returned `version`.
    void confirmUnchanged(uint64_t version, base::Instant readBegan);
    ManifestState state() const;

private:
    mutable base::Mutex m_mutex;
    ManifestState m_state;
};

} // namespace redwingseam::manifest
