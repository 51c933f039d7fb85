#include "AppliedVersions.h"
#include "Commands.h"
#include "StoreAccess.h"
#include "TreeChange.h"
#include "TreeFiles.h"
#include "redwingseam/settings/BranchCodec.h"
#include "store/ObjectKeys.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

static void print(const CommandLine& line, const TreeChange& change, std::string_view result)
{
    if (line.isJson())
        std::cout << nlohmann::json { { "path", change.path }, { "change", base::nameOf(change.kind) }, { "result", result } }.dump() << "\n";
    else
        std::cout << base::nameOf(change.kind) << " " << change.path << ": " << result << "\n";
}

static ExitCode applyOne(const CommandLine& line, const TreeChange& change, const StoreAccess& store, AppliedVersions& versions)
{
    std::optional<store::ObjectValue> value;
    if (change.kind != ChangeKind::Removed)
        value = store::RawBranch { change.path, change.wanted };
    // The version that the files were made from, not the latest one: a racing edit must show.
    auto expected = versions.versionOf(change.path);
    bool isOthersBranch = change.kind == ChangeKind::Removed && !expected.value;
    if (isOthersBranch) {
        print(line, change, "left alone: it was never pulled into this folder");
        return ExitCode::Good;
    }
    base::ObjectVersion written;
    auto outcome = store.write(store::rawBranchKey(change.path), expected, value, written);
    if (outcome == store::CallOutcome::Conflict) {
        print(line, change, "conflict: the store has version " + std::to_string(written.value) + "; pull, merge and apply again");
        return ExitCode::Conflict;
    }
    if (outcome != store::CallOutcome::Done) {
        print(line, change, "unknown: the store did not answer; run diff");
        return ExitCode::Unreachable;
    }
    if (value)
        versions.set(change.path, written);
    else
        versions.erase(change.path);
    print(line, change, "applied");
    return ExitCode::Good;
}

ExitCode apply(const CommandLine& line)
{
    auto folder = line.text("tree");
    auto files = loadTree(folder);
    if (!files.errors.empty()) {
        std::cerr << files.errors.front().detail << "\n";
        return ExitCode::NotInOrder;
    }
    StoreAccess store(line.text("platform"));
    auto changes = compareWithStore(files, store);
    if (!changes) {
        std::cerr << "the platform's store cannot be reached\n";
        return ExitCode::Unreachable;
    }
    AppliedVersions versions(folder);
    auto worst = ExitCode::Good;
    for (const auto& change : *changes)
        worst = std::max(worst, applyOne(line, change, store, versions));
    if (!versions.save())
        std::cerr << folder << ": the versions cannot be saved\n";
    return worst;
}

ExitCode pull(const CommandLine& line)
{
    auto folder = line.text("tree");
    auto listed = StoreAccess(line.text("platform")).list("settings/raw");
    if (!listed) {
        std::cerr << "the platform's store cannot be reached\n";
        return ExitCode::Unreachable;
    }
    AppliedVersions versions(folder);
    size_t written = 0;
    for (const auto& object : listed->changes) {
        const auto* raw = object.value ? std::get_if<store::RawBranch>(&*object.value) : nullptr;
        bool isUsable = raw && settings::isBranchPath(raw->path);
        if (!isUsable || !writeBranch(folder, raw->path, raw->json))
            continue;
        versions.set(raw->path, object.version);
        ++written;
    }
    bool isSaved = versions.save();
    std::cout << written << " branches pulled\n";
    return isSaved ? ExitCode::Good : ExitCode::NotInOrder;
}

} // namespace redwingseam::cli
