#pragma once

#include "redwingseam/settings/Branch.h"
#include "redwingseam/settings/ResolvedValue.h"

#include <map>
#include <memory>
#include <string_view>

namespace redwingseam::settings {

// Settings tree of accepted branches. Copies share their branches, so copying the tree to replace one
// branch is cheap. A branch is replaced only by a higher version of itself, so merging two trees gives the
// same result in any order and no branch reverts. A deleted branch remains as a tombstone with its version.
// Not synchronised.
class Tree {
public:
    // Stores `branch` if its version is higher than that of the tree's branch at the same path. Returns
    // whether it did.
    bool applyIfNewer(Branch branch);

    // Returns the value of a field at `path`, which must start with `/`: that of the nearest branch on the way
    // to the root that sets it, or the built-in default.
    ResolvedValue resolve(std::string_view path, Field) const;

    // Returns the branch at exactly `path`, or null if there is none or it is deleted.
    std::shared_ptr<const Branch> branch(std::string_view path) const;

    // Returns the highest version in the tree. It orders two snapshots of the same VM; trees of different VMs can
    // have the same version and different branches.
    base::ObjectVersion version() const { return m_version; }
    const std::map<std::string, std::shared_ptr<const Branch>, std::less<>>& branches() const { return m_branches; }

private:
    std::map<std::string, std::shared_ptr<const Branch>, std::less<>> m_branches;
    base::ObjectVersion m_version;
};

} // namespace redwingseam::settings
