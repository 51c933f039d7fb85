#include "fleet/PromptAffinity.h"

#include "base/Hash.h"
#include "fleet/VersionMatch.h"

namespace redwingseam::fleet {

PromptAffinity::PromptAffinity(const PlacementQuery& query, const std::vector<PoolEntry>& entries, const base::DataCentreName& localDataCentre)
{
    if (!query.promptKey || !query.engine)
        return;
    m_discount = query.isResumption ? resumptionDiscount : newRequestDiscount;
    std::array<uint64_t, 2> highest {};
    for (const auto& entry : entries) {
        if (!entry.isListed || entry.isLeaving() || entry.instance.dataCentre != localDataCentre || !isCompatible(query.version, entry.instance.version))
            continue;
        auto score = base::hashBytes(entry.instance.id.text, *query.promptKey);
        if (!m_preferred[0] || score > highest[0]) {
            m_preferred[1] = std::exchange(m_preferred[0], &entry);
            highest[1] = std::exchange(highest[0], score);
        } else if (!m_preferred[1] || score > highest[1]) {
            m_preferred[1] = &entry;
            highest[1] = score;
        }
    }
}

double PromptAffinity::discount(const PoolEntry& entry) const
{
    if (&entry == m_preferred[0])
        return m_discount;
    return &entry == m_preferred[1] ? m_discount * secondChoiceShare : 0;
}

} // namespace redwingseam::fleet
