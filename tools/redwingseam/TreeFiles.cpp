#include "TreeFiles.h"

#include "base/ReadFile.h"
#include "redwingseam/settings/BranchCodec.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace redwingseam::cli {

static constexpr const char* branchFileName = "branch.json";

settings::Tree TreeFiles::tree() const
{
    settings::Tree result;
    for (const auto& file : branches) {
        auto branch = file.branch;
        branch.version = { 1 };
        result.applyIfNewer(std::move(branch));
    }
    return result;
}

const BranchFile* TreeFiles::find(const std::string& path) const
{
    auto found = std::find_if(branches.begin(), branches.end(), [&](const BranchFile& file) { return file.path == path; });
    return found == branches.end() ? nullptr : &*found;
}

static std::string branchPathOf(const std::filesystem::path& folder, const std::filesystem::path& file)
{
    auto relative = std::filesystem::relative(file.parent_path(), folder).generic_string();
    return relative == "." ? "/" : "/" + relative;
}

static void loadBranch(const std::filesystem::path& folder, const std::filesystem::path& file, TreeFiles& result)
{
    auto text = base::readFile(file.string());
    if (!text) {
        result.errors.push_back(text.error());
        return;
    }
    auto path = branchPathOf(folder, file);
    auto branch = settings::parseBranch(path, {}, text.value());
    if (!branch) {
        result.errors.push_back({ branch.error().code, file.string() + ": " + branch.error().detail });
        return;
    }
    result.branches.push_back({ path, file.string(), std::move(text.value()), std::move(branch.value()) });
}

TreeFiles loadTree(const std::string& folder)
{
    TreeFiles result;
    std::error_code error;
    std::filesystem::recursive_directory_iterator files(folder, error);
    if (error) {
        result.errors.push_back({ base::ResultCode::SettingsUnreadable, folder + ": " + error.message() });
        return result;
    }
    for (const auto& entry : files) {
        if (entry.path().filename() == branchFileName)
            loadBranch(folder, entry.path(), result);
    }
    std::sort(result.branches.begin(), result.branches.end(), [](const auto& a, const auto& b) { return a.path < b.path; });
    return result;
}

bool writeBranchFile(const std::string& folder, const std::string& path, const std::string& json)
{
    auto target = std::filesystem::path(folder) / path.substr(1);
    std::error_code error;
    std::filesystem::create_directories(target, error);
    std::ofstream file(target / branchFileName);
    file << json << "\n";
    return file.good();
}

} // namespace redwingseam::cli
