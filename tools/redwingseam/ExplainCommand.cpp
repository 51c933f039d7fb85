#include "Commands.h"
#include "TreeFiles.h"
#include "redwingseam/base/Rank.h"
#include "redwingseam/settings/BranchCodec.h"
#include "redwingseam/settings/FieldSpec.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

static std::string formatValue(const settings::FieldSpec& spec, int64_t value)
{
    if (spec.kind == settings::FieldKind::Boolean)
        return value ? "true" : "false";
    if (spec.kind == settings::FieldKind::RankName)
        return std::string(base::nameOf(static_cast<base::Rank>(value)));
    auto text = std::to_string(value);
    return spec.unit.empty() ? text : text + " " + std::string(spec.unit);
}

ExitCode explain(const CommandLine& commandLine)
{
    if (commandLine.arguments.empty() || !settings::isBranchPath(commandLine.arguments.front())) {
        std::cerr << "explain: expected the path of a branch, such as /clients/lindqvist, but found \"" << (commandLine.arguments.empty() ? "" : commandLine.arguments.front()) << "\"\n";
        return ExitCode::UsageError;
    }
    const auto& path = commandLine.arguments.front();
    auto files = loadTree(commandLine.option("tree"));
    auto tree = files.tree();
    auto document = nlohmann::json::object();
    for (const auto& spec : settings::fieldSpecs) {
        auto resolved = tree.resolve(path, spec.field);
        auto name = std::string(base::nameOf(spec.field));
        auto from = resolved.path.empty() ? std::string("built in") : resolved.path;
        if (commandLine.wantsJson())
            document[name] = { { "value", formatValue(spec, resolved.value) }, { "from", from } };
        else
            std::cout << name << " = " << formatValue(spec, resolved.value) << "  (" << from << ")\n";
    }
    if (commandLine.wantsJson())
        std::cout << document.dump() << "\n";
    return files.errors.empty() ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace redwingseam::cli
