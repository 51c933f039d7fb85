#include "fleet/VersionWeights.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace redwingseam::fleet {

// Of the shares of a version, within which few streams change their assignment.
static constexpr double maxDifference = 0.1;

// Weighted rendezvous hashing.
base::SoftwareVersion VersionWeights::assigned(const base::ClientAttemptId& attempt) const
{
    auto key = base::hashBytes(attempt.text);
    base::SoftwareVersion best;
    auto lowest = std::numeric_limits<double>::infinity();
    for (const auto& [version, count] : counts) {
        auto cost = costOf(version, key) / count;
        if (count && cost < lowest) {
            lowest = cost;
            best = version;
        }
    }
    return best;
}

base::SoftwareVersion VersionWeights::clearlyAssigned(const base::ClientAttemptId& attempt) const
{
    auto best = assigned(attempt);
    auto key = base::hashBytes(attempt.text);
    auto highestCost = costOf(best, key) / std::max(0.0, shareOf(best) - maxDifference);
    bool isClear = counts.size() < 2 || std::all_of(counts.begin(), counts.end(), [&](const auto& item) {
        return item.first == best || highestCost < costOf(item.first, key) / (shareOf(item.first) + maxDifference);
    });
    return isClear ? best : base::SoftwareVersion {};
}

double VersionWeights::costOf(const base::SoftwareVersion& version, uint64_t attemptHash)
{
    auto uniform = (static_cast<double>(base::hashBytes(version.text, attemptHash)) + 1) / 0x1p64;
    return -std::log(std::min(uniform, 1.0));
}

double VersionWeights::shareOf(const base::SoftwareVersion& version) const
{
    double total = 0;
    for (const auto& item : counts)
        total += item.second;
    auto found = counts.find(version);
    return found == counts.end() || !total ? 0 : found->second / total;
}

bool VersionWeights::isSimilar(const VersionWeights& other) const
{
    auto hasSame = [&](const auto& item) { return other.counts.contains(item.first) && std::abs(shareOf(item.first) - other.shareOf(item.first)) <= maxDifference; };
    return counts.size() == other.counts.size() && std::all_of(counts.begin(), counts.end(), hasSame);
}

} // namespace redwingseam::fleet
