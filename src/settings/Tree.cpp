#include "redwingseam/settings/Tree.h"

#include "redwingseam/settings/FieldSpec.h"

#include <algorithm>

namespace redwingseam::settings {

bool Tree::applyIfNewer(Branch branch)
{
    auto& slot = m_branches[branch.path];
    if (slot && slot->version >= branch.version)
        return false;
    m_version = std::max(m_version, branch.version);
    slot = std::make_shared<const Branch>(std::move(branch));
    return true;
}

static std::string_view parentOf(std::string_view path)
{
    auto slash = path.rfind('/');
    return slash == 0 ? std::string_view { "/" } : path.substr(0, slash);
}

ResolvedValue Tree::resolve(std::string_view path, Field field) const
{
    while (true) {
        auto found = branch(path);
        if (found && found->values[indexOf(field)])
            return { *found->values[indexOf(field)], std::string(path) };
        if (path == "/")
            return { fieldSpecs[indexOf(field)].defaultValue, {} };
        path = parentOf(path);
    }
}

std::shared_ptr<const Branch> Tree::branch(std::string_view path) const
{
    auto found = m_branches.find(path);
    if (found == m_branches.end() || found->second->isDeleted)
        return nullptr;
    return found->second;
}

} // namespace redwingseam::settings
