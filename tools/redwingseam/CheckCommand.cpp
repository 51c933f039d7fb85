#include "Commands.h"
#include "TreeFiles.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

ExitCode check(const CommandLine& commandLine)
{
    auto files = loadTree(commandLine.option("tree"));
    if (commandLine.wantsJson()) {
        auto errors = nlohmann::json::array();
        for (const auto& error : files.errors)
            errors.push_back({ { "code", static_cast<unsigned>(error.code) }, { "name", base::nameOf(error.code) }, { "detail", error.detail } });
        std::cout << nlohmann::json { { "branches", files.branches.size() }, { "errors", std::move(errors) } }.dump() << "\n";
    } else {
        for (const auto& error : files.errors)
            std::cout << base::nameOf(error.code) << " (" << static_cast<unsigned>(error.code) << ") " << error.detail << "\n";
        std::cout << files.branches.size() << " branches valid, " << files.errors.size() << " not\n";
    }
    return files.errors.empty() ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace redwingseam::cli
