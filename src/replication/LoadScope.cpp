#include "replication/LoadScope.h"

namespace redwingseam::replication {

fleet::LoadMap LoadScope::of(const fleet::LoadMap& loads, const std::shared_ptr<const sync::UpstreamList>& list)
{
    if (!list || list->upstreams.size() <= mostToldWhole)
        return loads;
    if (list != m_list) {
        m_list = list;
        m_inside.clear();
        for (const auto& upstream : list->upstreams) {
            if (upstream.dataCentre == m_dataCentre)
                m_inside.insert(upstream.id);
        }
    }
    fleet::LoadMap told;
    for (const auto& [upstream, load] : loads) {
        if (!isLight(load) && m_inside.count(upstream))
            told.emplace(upstream, load);
    }
    return told;
}

} // namespace redwingseam::replication
