#include "BlockingStoreClient.h"
#include "Commands.h"
#include "TreeChange.h"
#include "TreeFiles.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

ExitCode diff(const CommandLine& commandLine)
{
    auto files = loadTree(commandLine.option("tree"));
    if (!files.errors.empty()) {
        std::cerr << files.errors.front().detail << "\n";
        return ExitCode::ProblemsFound;
    }
    auto changes = compareWithStore(files, BlockingStoreClient(commandLine.option("platform")));
    if (!changes) {
        std::cerr << "cannot reach the platform's store at \"" << commandLine.option("platform") << "\"\n";
        return ExitCode::Unreachable;
    }
    auto document = nlohmann::json::array();
    for (const auto& change : *changes) {
        if (commandLine.wantsJson())
            document.push_back({ { "path", change.path }, { "change", base::nameOf(change.kind) }, { "from", change.stored }, { "to", change.local } });
        else
            std::cout << base::nameOf(change.kind) << " " << change.path << "\n  store " << change.stored << "\n  files " << change.local << "\n";
    }
    if (commandLine.wantsJson())
        std::cout << document.dump() << "\n";
    return changes->empty() ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace redwingseam::cli
