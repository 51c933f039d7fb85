#include "report/ReportCodec.h"

#include "codec/JsonReader.h"

namespace redwingseam::report {

using nlohmann::json;

static json formatCell(base::Rank rank, Objective objective, Window window, const BurnRateCell& cell)
{
    auto causes = json::object();
    for (const auto& [cause, name] : base::EnumNames<MissCause>::entries)
        causes[std::string(name)] = cell.causes[indexOf(cause)];
    return {
        { "rank", base::nameOf(rank) },
        { "objective", base::nameOf(objective) },
        { "window", base::nameOf(window) },
        { "met", cell.met },
        { "missed", cell.missed },
        { "objective_permille", static_cast<uint64_t>(cell.objectivePermille) },
        { "burn_rate", cell.burnRate() },
        { "causes", std::move(causes) },
    };
}

std::string formatVmReport(const BurnRateReport& report, const Counters& counters)
{
    auto cells = json::array();
    for (const auto& [rank, rankName] : base::EnumNames<base::Rank>::entries) {
        for (const auto& [objective, objectiveName] : base::EnumNames<Objective>::entries) {
            for (const auto& [window, windowName] : base::EnumNames<Window>::entries)
                cells.push_back(formatCell(rank, objective, window, report.cell(rank, objective, window)));
        }
    }
    json document {
        { "cells", std::move(cells) },
        { "requests", counters.requests },
        { "finished", counters.finished },
        { "refused", counters.refused },
        { "preemptions", counters.preemptions },
        { "suspicions", counters.suspicions },
        { "upstream_losses", counters.upstreamLosses },
    };
    return document.dump();
}

static bool parseCell(const json& item, BurnRateReport& report)
{
    codec::JsonReader reader(item);
    auto rank = reader.enumValue<base::Rank>("rank");
    auto objective = reader.enumValue<Objective>("objective");
    auto window = reader.enumValue<Window>("window");
    BurnRateCell cell;
    cell.met = reader.number("met");
    cell.missed = reader.number("missed");
    cell.objectivePermille = static_cast<int64_t>(reader.number("objective_permille"));
    codec::JsonReader causes(reader.object("causes"));
    for (const auto& [cause, name] : base::EnumNames<MissCause>::entries)
        cell.causes[indexOf(cause)] = causes.number(std::string(name).c_str());
    if (!reader.isGood() || !causes.isGood())
        return false;
    report.cell(rank, objective, window) = cell;
    return true;
}

static bool parseByRank(const json& array, std::array<uint64_t, base::rankCount>& target)
{
    if (array.size() != base::rankCount)
        return false;
    for (size_t rank = 0; rank < base::rankCount; ++rank) {
        if (!array[rank].is_number_unsigned())
            return false;
        target[rank] = array[rank].get<uint64_t>();
    }
    return true;
}

std::optional<VmReport> parseVmReport(std::string_view text)
{
    auto document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    codec::JsonReader reader(document);
    VmReport result;
    for (const auto& item : reader.array("cells")) {
        if (!parseCell(item, result.burnRates))
            return std::nullopt;
    }
    auto& counters = result.counters;
    bool isGood = parseByRank(reader.array("requests"), counters.requests) && parseByRank(reader.array("finished"), counters.finished) && parseByRank(reader.array("refused"), counters.refused);
    counters.preemptions = reader.number("preemptions");
    counters.suspicions = reader.number("suspicions");
    counters.upstreamLosses = reader.number("upstream_losses");
    if (!isGood || !reader.isGood())
        return std::nullopt;
    return result;
}

} // namespace redwingseam::report
