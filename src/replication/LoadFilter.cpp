#include "replication/LoadFilter.h"

namespace redwingseam::replication {

fleet::LoadMap LoadFilter::apply(const fleet::LoadMap& loads, const std::shared_ptr<const sync::UpstreamList>& list)
{
    if (!list || list->upstreams.size() <= maxUnfilteredUpstreams)
        return loads;
    if (list != m_list) {
        m_list = list;
        m_receiverUpstreams.clear();
        for (const auto& upstream : list->upstreams) {
            if (upstream.dataCentre == m_receiver)
                m_receiverUpstreams.insert(upstream.id);
        }
    }
    fleet::LoadMap filtered;
    for (const auto& [upstream, load] : loads) {
        if (!isNegligible(load) && m_receiverUpstreams.count(upstream))
            filtered.emplace(upstream, load);
    }
    return filtered;
}

} // namespace redwingseam::replication
