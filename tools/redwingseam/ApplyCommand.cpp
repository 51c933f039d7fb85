#include "AppliedVersions.h"
#include "BlockingStoreClient.h"
#include "Commands.h"
#include "TreeChange.h"
#include "TreeFiles.h"
#include "redwingseam/settings/BranchCodec.h"
#include "store/ObjectKeys.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

static void printResult(const CommandLine& commandLine, const TreeChange& change, std::string_view result)
{
    if (commandLine.wantsJson())
        std::cout << nlohmann::json { { "path", change.path }, { "change", base::nameOf(change.kind) }, { "result", result } }.dump() << "\n";
    else
        std::cout << base::nameOf(change.kind) << " " << change.path << ": " << result << "\n";
}

static ExitCode applyChange(const CommandLine& commandLine, const TreeChange& change, const BlockingStoreClient& store, AppliedVersions& versions)
{
    std::optional<store::ObjectValue> value;
    if (change.kind != ChangeKind::Removed)
        value = store::BranchEdit { change.path, change.local };
    // Expects the version that the files are based on rather than the latest one, so that a concurrent edit
    // is reported as a conflict.
    auto expected = versions.versionOf(change.path);
    bool isNeverPulled = change.kind == ChangeKind::Removed && !expected.value;
    if (isNeverPulled) {
        printResult(commandLine, change, "left alone: it was never pulled into this folder");
        return ExitCode::Success;
    }
    base::ObjectVersion written;
    auto outcome = store.write(store::branchEditKey(change.path), expected, value, written);
    if (outcome == store::CallOutcome::Conflict) {
        printResult(commandLine, change, "conflict: the store has version " + std::to_string(written.value) + "; pull, merge and apply again");
        return ExitCode::Conflict;
    }
    if (outcome != store::CallOutcome::Done) {
        printResult(commandLine, change, "unknown: the store did not answer; run diff");
        return ExitCode::Unreachable;
    }
    if (value)
        versions.set(change.path, written);
    else
        versions.erase(change.path);
    printResult(commandLine, change, "applied");
    return ExitCode::Success;
}

ExitCode apply(const CommandLine& commandLine)
{
    auto folder = commandLine.option("tree");
    auto files = loadTree(folder);
    if (!files.errors.empty()) {
        std::cerr << files.errors.front().detail << "\n";
        return ExitCode::ProblemsFound;
    }
    BlockingStoreClient store(commandLine.option("platform"));
    auto changes = compareWithStore(files, store);
    if (!changes) {
        std::cerr << "cannot reach the platform's store at \"" << commandLine.option("platform") << "\"\n";
        return ExitCode::Unreachable;
    }
    AppliedVersions versions(folder);
    auto worst = ExitCode::Success;
    for (const auto& change : *changes)
        worst = std::max(worst, applyChange(commandLine, change, store, versions));
    if (!versions.save())
        std::cerr << folder << ": cannot write .applied.json with the versions of the applied branches\n";
    return worst;
}

ExitCode pull(const CommandLine& commandLine)
{
    auto folder = commandLine.option("tree");
    auto listed = BlockingStoreClient(commandLine.option("platform")).list("settings/raw");
    if (!listed) {
        std::cerr << "cannot reach the platform's store at \"" << commandLine.option("platform") << "\"\n";
        return ExitCode::Unreachable;
    }
    AppliedVersions versions(folder);
    size_t written = 0;
    for (const auto& object : listed->changes) {
        const auto* raw = object.value ? std::get_if<store::BranchEdit>(&*object.value) : nullptr;
        bool isUsable = raw && settings::isBranchPath(raw->path);
        if (!isUsable || !writeBranchFile(folder, raw->path, raw->json))
            continue;
        versions.set(raw->path, object.version);
        ++written;
    }
    bool isSaved = versions.save();
    std::cout << written << " branches pulled\n";
    return isSaved ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace redwingseam::cli
