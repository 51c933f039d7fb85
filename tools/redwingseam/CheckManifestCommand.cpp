#include "Commands.h"

#include "base/ReadFile.h"
#include "manifest/CheckManifest.h"
#include "manifest/CompareManifests.h"
#include "platform/ManifestCodec.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

// The store holds no larger object.
static constexpr uintmax_t maxManifestBytes = 16 * 1024 * 1024;

static base::Result<manifest::Manifest> readManifest(const std::string& path)
{
    std::error_code failure;
    auto bytes = std::filesystem::file_size(path, failure);
    if (failure)
        return base::Error { base::ResultCode::SettingsUnreadable, path + ": " + failure.message() };
    if (bytes > maxManifestBytes)
        return base::Error { base::ResultCode::SettingsUnreadable, path + ": larger than 16 MB" };
    BOOST_OUTCOME_TRY(auto text, base::readFile(path));
    auto parsed = platform::parseManifestFile(text);
    if (!parsed)
        return base::Error { parsed.error().code, path + ": " + parsed.error().detail };
    return parsed;
}

static void print(const manifest::Findings& findings, bool asJson)
{
    auto list = nlohmann::json::array();
    for (const auto& finding : findings) {
        if (asJson)
            list.push_back({ { "kind", base::nameOf(finding.kind) }, { "entry", finding.entry }, { "text", finding.text } });
        else
            std::cout << base::nameOf(finding.kind) << " " << finding.entry << ": " << finding.text << "\n";
    }
    if (asJson)
        std::cout << list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

static ExitCode reportUnreadable(const base::Error& error)
{
    std::cerr << error.detail << "\n";
    return ExitCode::ProblemsFound;
}

ExitCode checkManifest(const CommandLine& commandLine)
{
    if (commandLine.arguments.size() != 1) {
        std::cerr << "usage: redwingseam check-manifest FILE [--against FILE] [--strict] [--json]\n";
        return ExitCode::UsageError;
    }
    auto checked = readManifest(commandLine.arguments.front());
    if (!checked)
        return reportUnreadable(checked.error());
    auto findings = manifest::checkManifest(checked.value());
    bool isStrict = commandLine.options.count("strict") > 0;
    bool hasProblem = std::any_of(findings.begin(), findings.end(), [&](const auto& finding) { return isStrict || finding.kind == manifest::FindingKind::Error; });
    if (auto path = commandLine.option("against"); !path.empty()) {
        auto inForce = readManifest(path);
        if (!inForce)
            return reportUnreadable(inForce.error());
        auto differences = manifest::compareManifests(inForce.value(), checked.value());
        findings.insert(findings.end(), differences.begin(), differences.end());
    }
    print(findings, commandLine.wantsJson());
    return hasProblem ? ExitCode::ProblemsFound : ExitCode::Success;
}

} // namespace redwingseam::cli
