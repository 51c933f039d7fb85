#include "origin/WeightHistory.h"

#include <algorithm>

namespace redwingseam::origin {

// Far more than a release has steps within the life of a stream.
static constexpr size_t maxEntries = 32;

// Upstreams register again within about two seconds, and clocks differ by as much. In milliseconds.
static constexpr uint64_t settlingTime = 5000;

bool WeightHistory::record(const fleet::VersionWeights& current, uint64_t now)
{
    if (!entries.empty() && entries.back().weights.isSimilar(current))
        return false;
    restart(current, now);
    return true;
}

void WeightHistory::restart(const fleet::VersionWeights& current, uint64_t now)
{
    if (!entries.empty())
        entries.back().endedAt = now;
    entries.push_back({ current });
    if (entries.size() > maxEntries)
        entries.erase(entries.begin());
}

bool WeightHistory::isSettled(uint64_t now) const
{
    return std::all_of(entries.begin(), entries.end(), [&](const WeightEntry& entry) { return entry.endedAt + settlingTime <= now; });
}

bool WeightHistory::removeOlderThan(uint64_t oldest)
{
    return std::erase_if(entries, [&](const WeightEntry& entry) { return entry.endedAt && entry.endedAt < oldest; }) > 0;
}

std::set<base::SoftwareVersion> WeightHistory::versions() const
{
    std::set<base::SoftwareVersion> versions;
    for (const auto& entry : entries) {
        for (const auto& item : entry.weights.counts)
            versions.insert(item.first);
    }
    return versions;
}

base::SoftwareVersion WeightHistory::assigned(const base::ClientAttemptId& attempt) const
{
    if (entries.empty())
        return {};
    auto version = entries.front().weights.assigned(attempt);
    bool isSame = std::all_of(entries.begin(), entries.end(), [&](const auto& entry) { return entry.weights.assigned(attempt) == version; });
    return isSame ? version : base::SoftwareVersion {};
}

} // namespace redwingseam::origin
