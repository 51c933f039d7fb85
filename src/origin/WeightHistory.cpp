#include "origin/WeightHistory.h"

#include <algorithm>
#include <iterator>

namespace redwingseam::origin {

// Far more than a release has steps within the life of a stream.
static constexpr size_t maxEntries = 32;

// Upstreams register again within about two seconds, and clocks differ by as much. In milliseconds.
static constexpr uint64_t settlingTime = 5000;

bool WeightHistory::record(const fleet::VersionWeights& current, uint64_t now, const ListSpan& span)
{
    if (!entries.empty() && entries.back().weights.isSimilar(current))
        return false;
    restart(current, now, span);
    return true;
}

void WeightHistory::restart(const fleet::VersionWeights& current, uint64_t now, const ListSpan& span)
{
    sync::StoreVersion from;
    if (!entries.empty()) {
        auto& last = entries.back();
        last.endedAt = now;
        last.until = span.observedAt;
        from = std::max(last.from, span.lastBefore.value_or(last.from));
    }
    entries.push_back({ current, 0, from });
    if (entries.size() > maxEntries)
        entries.erase(entries.begin());
}

bool WeightHistory::isSettled(uint64_t now) const
{
    return std::all_of(entries.begin(), entries.end(), [&](const WeightEntry& entry) { return entry.endedAt + settlingTime <= now; });
}

bool WeightHistory::isBeginDoubtful(uint64_t now) const
{
    if (entries.size() < 2)
        return false;
    const auto& previous = entries[entries.size() - 2];
    return entries.back().from <= previous.from && previous.endedAt + settlingTime > now;
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

std::vector<WeightEntry> WeightHistory::entriesWithin(const std::vector<RecordGap>& gaps, uint64_t oldest, const fleet::VersionWeights& present) const
{
    std::vector<WeightEntry> within;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(within), [&](const WeightEntry& entry) {
        bool isOver = entry.endedAt && entry.endedAt < oldest;
        return !isOver && std::any_of(gaps.begin(), gaps.end(), [&](const RecordGap& gap) { return entry.overlaps(gap); });
    });
    if (!within.empty() && within.back() == entries.back())
        within.push_back({ present });
    return within;
}

base::SoftwareVersion WeightHistory::assignedWithin(const std::vector<RecordGap>& gaps, uint64_t oldest, const fleet::VersionWeights& present, const base::ClientAttemptId& attempt) const
{
    auto within = entriesWithin(gaps, oldest, present);
    if (within.empty())
        return {};
    auto version = within.front().weights.clearlyAssigned(attempt);
    bool isSame = std::all_of(within.begin(), within.end(), [&](const WeightEntry& entry) { return entry.weights.clearlyAssigned(attempt) == version; });
    return isSame ? version : base::SoftwareVersion {};
}

} // namespace redwingseam::origin
