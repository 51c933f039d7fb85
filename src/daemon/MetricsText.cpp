#include "daemon/MetricsText.h"

#include <algorithm>

namespace redwingseam::daemon {

MetricsText::Family& MetricsText::family(std::string_view name, std::string_view type)
{
    auto found = std::find_if(m_families.begin(), m_families.end(), [&](const Family& family) { return family.name == name; });
    if (found != m_families.end())
        return *found;
    return m_families.emplace_back(Family { std::string(name), std::string(type), {} });
}

void MetricsText::sample(std::string_view name, std::string_view type, std::string_view label, std::string_view labelValue, uint64_t value)
{
    auto& samples = family(name, type).samples;
    samples += name;
    if (!label.empty())
        samples += "{" + std::string(label) + "=\"" + std::string(labelValue) + "\"}";
    samples += " " + std::to_string(value) + "\n";
}

void MetricsText::histogram(const std::string& name, std::string_view rank, const report::LatencySummary& summary)
{
    auto& samples = family(name, "histogram").samples;
    auto labels = "{rank=\"" + std::string(rank) + "\",le=\"";
    uint64_t cumulative = 0;
    for (size_t bin = 0; bin < summary.counts.size(); ++bin) {
        cumulative += summary.counts[bin];
        bool isEmpty = !summary.counts[bin];
        if (isEmpty)
            continue;
        samples.append(name).append("_bucket").append(labels).append(std::to_string(summary.upperBoundsMs[bin]));
        samples.append("\"} ").append(std::to_string(cumulative)).append("\n");
    }
    samples += name + "_bucket" + labels + "+Inf\"} " + std::to_string(summary.total) + "\n";
    samples += name + "_count{rank=\"" + std::string(rank) + "\"} " + std::to_string(summary.total) + "\n";
}

std::string MetricsText::text() const
{
    std::string result;
    for (const auto& family : m_families)
        result += "# TYPE " + family.name + " " + family.type + "\n" + family.samples;
    return result;
}

} // namespace redwingseam::daemon
