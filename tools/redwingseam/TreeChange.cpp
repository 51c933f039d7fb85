#include "TreeChange.h"

#include "redwingseam/settings/BranchCodec.h"

#include <map>

namespace redwingseam::cli {

// Returns canonical JSON if the text is a valid branch, otherwise the text unchanged.
static std::string canonicalJson(const store::BranchEdit& raw)
{
    auto branch = settings::parseBranch(raw.path, {}, raw.json);
    return branch ? settings::formatBranch(branch.value()) : raw.json;
}

std::optional<std::vector<TreeChange>> compareWithStore(const TreeFiles& files, const BlockingStoreClient& store)
{
    auto listed = store.list("settings/raw");
    if (!listed)
        return std::nullopt;
    std::map<std::string, std::string> stored;
    for (const auto& object : listed->changes) {
        if (const auto* raw = object.value ? std::get_if<store::BranchEdit>(&*object.value) : nullptr)
            stored[raw->path] = canonicalJson(*raw);
    }
    std::vector<TreeChange> changes;
    for (const auto& file : files.branches) {
        auto local = settings::formatBranch(file.branch);
        auto found = stored.find(file.path);
        if (found == stored.end())
            changes.push_back({ ChangeKind::Added, file.path, {}, local });
        else if (found->second != local)
            changes.push_back({ ChangeKind::Changed, file.path, found->second, local });
    }
    for (const auto& [path, json] : stored) {
        if (!files.find(path))
            changes.push_back({ ChangeKind::Removed, path, json, {} });
    }
    return changes;
}

} // namespace redwingseam::cli
