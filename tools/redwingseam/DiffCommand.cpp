#include "Commands.h"
#include "StoreAccess.h"
#include "TreeChange.h"
#include "TreeFiles.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

ExitCode diff(const CommandLine& line)
{
    auto files = loadTree(line.text("tree"));
    if (!files.errors.empty()) {
        std::cerr << files.errors.front().detail << "\n";
        return ExitCode::NotInOrder;
    }
    auto changes = compareWithStore(files, StoreAccess(line.text("platform")));
    if (!changes) {
        std::cerr << "the platform's store cannot be reached\n";
        return ExitCode::Unreachable;
    }
    auto document = nlohmann::json::array();
    for (const auto& change : *changes) {
        if (line.isJson())
            document.push_back({ { "path", change.path }, { "change", base::nameOf(change.kind) }, { "from", change.stored }, { "to", change.wanted } });
        else
            std::cout << base::nameOf(change.kind) << " " << change.path << "\n  store " << change.stored << "\n  files " << change.wanted << "\n";
    }
    if (line.isJson())
        std::cout << document.dump() << "\n";
    return changes->empty() ? ExitCode::Good : ExitCode::NotInOrder;
}

} // namespace redwingseam::cli
