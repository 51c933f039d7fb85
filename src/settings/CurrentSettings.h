#pragma once

#include "redwingseam/base/Mutex.h"
#include "redwingseam/settings/Tree.h"

#include <memory>
#include <mutex>

namespace redwingseam::settings {

// Holds the settings tree in effect. Readers take immutable snapshots; each change installs a new tree.
// Thread-safe.
class CurrentSettings {
public:
    std::shared_ptr<const Tree> snapshot()
    {
        std::lock_guard guard(m_mutex);
        return m_tree;
    }

    // Stores a branch if it is newer than the one held. Returns whether it did.
    bool applyIfNewer(const Branch& branch)
    {
        std::lock_guard guard(m_mutex);
        auto next = std::make_shared<Tree>(*m_tree);
        if (!next->applyIfNewer(branch))
            return false;
        m_tree = std::move(next);
        return true;
    }

private:
    base::Mutex m_mutex;
    std::shared_ptr<const Tree> m_tree = std::make_shared<const Tree>();
};

} // namespace redwingseam::settings
