#include "BlockingStoreClient.h"
#include "Commands.h"
#include "VmAdmin.h"

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

static void printRow(const nlohmann::json& status)
{
    std::cout << std::left << std::setw(16) << status.value("vm", "") << std::setw(14) << status.value("data_centre", "")
              << "settings " << std::setw(8) << status.value("settings_version", 0ULL)
              << "requests " << std::setw(6) << status.value("requests", 0ULL)
              << "queued " << std::setw(6) << status.value("queued", 0ULL)
              << "upstreams " << status.value("upstreams_live", 0ULL) << "+" << status.value("upstreams_down", 0ULL) << " down"
              << "  vms " << status.value("vms_live", 0ULL)
              << (status.value("draining", false) ? "  draining" : "");
    for (const auto& part : status["degraded"])
        std::cout << "  degraded: " << part.get<std::string>();
    std::cout << "\n";
}

static nlohmann::json rejectedEdits(const std::string& platformUrl)
{
    auto rejected = nlohmann::json::array();
    if (platformUrl.empty())
        return rejected;
    auto listed = BlockingStoreClient(platformUrl).list("settings/status");
    if (!listed)
        return rejected;
    for (const auto& object : listed->changes) {
        const auto* status = object.value ? std::get_if<store::BranchStatus>(&*object.value) : nullptr;
        if (status && !status->isAccepted)
            rejected.push_back({ { "path", status->path }, { "reason", status->reason }, { "edit_version", status->editVersion.value } });
    }
    return rejected;
}

ExitCode status(const CommandLine& commandLine)
{
    auto vms = nlohmann::json::array();
    auto missing = nlohmann::json::array();
    for (const auto& address : commandLine.optionList("vm")) {
        auto body = fetchFromVm(address, "/status");
        auto status = nlohmann::json::parse(body.value_or(""), nullptr, false);
        if (status.is_object())
            vms.push_back(std::move(status));
        else
            missing.push_back(address);
    }
    auto rejected = rejectedEdits(commandLine.option("platform"));
    if (commandLine.wantsJson()) {
        std::cout << nlohmann::json { { "vms", vms }, { "missing", missing }, { "rejected_edits", rejected } }.dump() << "\n";
    } else {
        for (const auto& vm : vms)
            printRow(vm);
        for (const auto& address : missing)
            std::cout << address.get<std::string>() << ": no valid status received\n";
        for (const auto& edit : rejected)
            std::cout << "rejected edit of " << edit["path"].get<std::string>() << ": " << edit["reason"].get<std::string>() << "\n";
    }
    return missing.empty() && rejected.empty() ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace redwingseam::cli
