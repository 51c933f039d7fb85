#include "replication/SilentNodeRotation.h"

#include <algorithm>

namespace redwingseam::replication {

std::vector<sync::NodeRecord> SilentNodeRotation::next(std::vector<SilentNode> silent)
{
    std::vector<sync::NodeRecord> chosen;
    auto take = [&](std::vector<SilentNode>::iterator begin, std::vector<SilentNode>::iterator end) {
        std::transform(begin, end, std::back_inserter(chosen), [](SilentNode& node) { return std::move(node.record); });
    };
    if (silent.size() <= maxQueriesPerRound) {
        take(silent.begin(), silent.end());
        return chosen;
    }
    std::stable_sort(silent.begin(), silent.end(), [](const auto& left, const auto& right) { return left.lastMessageAt > right.lastMessageAt; });
    auto firstInTurn = std::find_if(silent.begin(), silent.begin() + maxQueriesPerRound / 2, [](const auto& node) { return node.lastMessageAt == base::Instant {}; });
    take(silent.begin(), firstInTurn);
    std::sort(firstInTurn, silent.end(), [](const auto& left, const auto& right) { return left.record.name < right.record.name; });
    auto afterLast = std::find_if(firstInTurn, silent.end(), [&](const auto& node) { return m_last < node.record.name; });
    std::rotate(firstInTurn, afterLast, silent.end());
    auto end = firstInTurn + std::min<ptrdiff_t>(static_cast<ptrdiff_t>(maxQueriesPerRound - chosen.size()), silent.end() - firstInTurn);
    m_last = std::prev(end)->record.name;
    take(firstInTurn, end);
    return chosen;
}

} // namespace redwingseam::replication
