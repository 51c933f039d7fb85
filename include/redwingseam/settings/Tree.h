#pragma once

#include "redwingseam/settings/Branch.h"
#include "redwingseam/settings/ResolvedValue.h"

#include <map>
#include <memory>
#include <string_view>

namespace redwingseam::settings {

// Accepted branches. A value; branches are shared between copies, so a copy with one branch replaced
// is cheap. A branch is replaced only by a higher version of itself, so that merging two trees gives
// the same tree in any order and nothing reverts. A deleted branch stays as a marker of its version.
class Tree {
public:
    // Takes `branch` in if its version is higher than what the tree has. Returns whether it did.
    bool applyIfNewer(Branch);

    // Value of a field as seen from `path`: the nearest branch on the way to the root that sets it.
    ResolvedValue resolve(std::string_view path, Field) const;

    // Branch at exactly `path`, null if there is none or it is deleted.
    std::shared_ptr<const Branch> branch(std::string_view path) const;

    // Highest version in the tree; tells which of two snapshots is newer.
    base::ObjectVersion version() const { return m_version; }
    const std::map<std::string, std::shared_ptr<const Branch>, std::less<>>& branches() const { return m_branches; }

private:
    std::map<std::string, std::shared_ptr<const Branch>, std::less<>> m_branches;
    base::ObjectVersion m_version;
};

} // namespace redwingseam::settings
