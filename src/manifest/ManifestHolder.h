#pragma once

#include "manifest/ManifestState.h"
#include "redwingseam/base/Mutex.h"

namespace redwingseam::manifest {

// The newest manifest that the node has seen. Versions never go back. Thread-safe.
class ManifestHolder {
public:
    // Takes the version that a linearizable read, begun at `readBegan`, returned. An older version than
    // the held one is dropped and confirms nothing. Returns whether the held version changed.
    bool confirm(Manifest, std::string text, base::Instant readBegan);
    // The store still holds `version`, as read from `readBegan` on.
    void confirmUnchanged(uint64_t version, base::Instant readBegan);
    ManifestState state() const;

private:
    mutable base::Mutex m_mutex;
    ManifestState m_state;
};

} // namespace redwingseam::manifest
