#include "ReportPage.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace redwingseam::cli {

static constexpr const char* pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>redwingseam: service levels</title>
<style>
body { font: 15px/1.4 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; color: #1b1f24; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin-top: 1.6rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .25rem .6rem; border-bottom: 1px solid #d8dee4; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.missing { background: #fff1e5; border-left: 4px solid #bc4c00; padding: .5rem 1rem; }
</style></head><body><h1>Service levels</h1>
)";

static std::string formatNumber(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

static std::string escapeHtml(std::string_view text)
{
    std::string result;
    for (char c : text) {
        if (c == '<')
            result += "&lt;";
        else if (c == '&')
            result += "&amp;";
        else
            result += c;
    }
    return result;
}

// Draws a bar whose full length stands for a burn rate of 4. The vertical line marks a rate of 1, at
// which the error budget lasts exactly for its window.
static std::string burnRateBar(double burnRate)
{
    static constexpr double fullScaleRate = 4;
    static constexpr double width = 160;
    auto length = std::min(burnRate / fullScaleRate, 1.0) * width;
    const char* colour = burnRate > 1 ? "#cf222e" : "#1a7f37";
    return "<svg width=\"160\" height=\"14\" role=\"img\" aria-label=\"burn rate " + formatNumber(burnRate) + "\"><rect width=\"160\" height=\"14\" fill=\"#eaeef2\"/><rect width=\"" + formatNumber(length) + "\" height=\"14\" fill=\"" + colour + "\"/><line x1=\"40\" x2=\"40\" y1=\"0\" y2=\"14\" stroke=\"#1b1f24\"/></svg>";
}

static std::string formatCauses(const report::BurnRateCell& cell)
{
    std::string result;
    for (const auto& [cause, name] : base::EnumNames<report::MissCause>::entries) {
        if (auto count = cell.causes[report::indexOf(cause)])
            result += std::string(name) + " " + std::to_string(count) + " ";
    }
    return result;
}

static std::string rankTable(const report::VmReport& total, base::Rank rank)
{
    std::string rows;
    for (const auto& [objective, objectiveName] : base::EnumNames<report::Objective>::entries) {
        for (const auto& [window, windowName] : base::EnumNames<report::Window>::entries) {
            const auto& cell = total.burnRates.cell(rank, objective, window);
            rows += "<tr><td>" + std::string(objectiveName) + "</td><td>" + std::string(windowName) + "</td><td class=\"number\">" + std::to_string(cell.met) + "</td><td class=\"number\">" + std::to_string(cell.missed) + "</td><td class=\"number\">" + formatNumber(cell.burnRate()) + "</td><td>" + burnRateBar(cell.burnRate()) + "</td><td>" + formatCauses(cell) + "</td></tr>\n";
        }
    }
    return "<table><tr><th>objective</th><th>window</th><th>met</th><th>missed</th><th>burn rate</th><th>the line marks a burn rate of 1</th><th>causes of misses</th></tr>\n" + rows + "</table>\n";
}

std::string formatReportPage(const report::VmReport& total, size_t vms, const std::vector<std::string>& missing)
{
    std::string page = pageHead;
    page += "<p>Summed over " + std::to_string(vms) + " VMs.</p>\n";
    if (!missing.empty()) {
        page += "<p class=\"missing\">No valid report received; not included in the figures below:";
        for (const auto& address : missing)
            page += " " + escapeHtml(address);
        page += "</p>\n";
    }
    for (const auto& [rank, name] : base::EnumNames<base::Rank>::entries) {
        auto index = base::indexOf(rank);
        page += "<h2>" + std::string(name) + "</h2><p>" + std::to_string(total.counters.requests[index]) + " requests, " + std::to_string(total.counters.finished[index]) + " finished, " + std::to_string(total.counters.refused[index]) + " refused</p>\n";
        page += rankTable(total, rank);
    }
    return page + "</body></html>\n";
}

} // namespace redwingseam::cli
