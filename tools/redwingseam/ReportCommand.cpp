#include "Commands.h"
#include "ReportPage.h"
#include "VmAdmin.h"
#include "report/ReportCodec.h"

#include <fstream>
#include <iomanip>
#include <iostream>

namespace redwingseam::cli {

static void printTable(const report::VmReport& total)
{
    std::cout << std::left << std::setw(12) << "rank" << std::setw(16) << "objective" << std::setw(8) << "window" << std::setw(10) << "met" << std::setw(10) << "missed"
              << "burn\n";
    for (const auto& [rank, rankName] : base::EnumNames<base::Rank>::entries) {
        for (const auto& [objective, objectiveName] : base::EnumNames<report::Objective>::entries) {
            for (const auto& [window, windowName] : base::EnumNames<report::Window>::entries) {
                const auto& cell = total.burnRates.cell(rank, objective, window);
                if (!cell.met && !cell.missed)
                    continue;
                std::cout << std::setw(12) << rankName << std::setw(16) << objectiveName << std::setw(8) << windowName << std::setw(10) << cell.met << std::setw(10) << cell.missed << std::fixed << std::setprecision(2) << cell.burnRate();
                for (const auto& [cause, causeName] : base::EnumNames<report::MissCause>::entries) {
                    if (auto count = cell.causes[report::indexOf(cause)])
                        std::cout << "  " << causeName << " " << count;
                }
                std::cout << "\n";
            }
        }
    }
}

ExitCode report(const CommandLine& commandLine)
{
    report::VmReport total;
    std::vector<std::string> missing;
    size_t reached = 0;
    for (const auto& address : commandLine.optionList("vm")) {
        auto body = fetchFromVm(address, "/report");
        auto parsed = body ? report::parseVmReport(*body) : std::nullopt;
        if (!parsed) {
            missing.push_back(address);
            continue;
        }
        ++reached;
        total.burnRates.add(parsed->burnRates);
        total.counters.add(parsed->counters);
    }
    if (auto file = commandLine.option("html"); !file.empty()) {
        std::ofstream page(file);
        page << formatReportPage(total, reached, missing);
    }
    if (commandLine.wantsJson()) {
        std::cout << report::formatVmReport(total.burnRates, total.counters) << "\n";
    } else {
        printTable(total);
        std::cout << reached << " VMs\n";
    }
    for (const auto& address : missing)
        std::cerr << address << ": no valid report received; its figures are not included\n";
    return missing.empty() ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace redwingseam::cli
