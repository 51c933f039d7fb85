#include "sync/UpstreamDelta.h"

#include <unordered_map>
#include <unordered_set>

namespace redwingseam::sync {

using InstancesByName = std::unordered_map<base::UpstreamName, const fleet::UpstreamInstance*>;

static InstancesByName byName(const std::vector<fleet::UpstreamInstance>& upstreams)
{
    InstancesByName map;
    map.reserve(upstreams.size());
    for (const auto& upstream : upstreams)
        map.emplace(upstream.id, &upstream);
    return map;
}

UpstreamDelta deltaBetween(const UpstreamList& from, const UpstreamList& to)
{
    UpstreamDelta delta { from.version, to.version, {}, {} };
    auto before = byName(from.upstreams);
    for (const auto& upstream : to.upstreams) {
        auto found = before.find(upstream.id);
        if (found == before.end() || *found->second != upstream)
            delta.changed.push_back(upstream);
        if (found != before.end())
            before.erase(found);
    }
    for (const auto& [id, upstream] : before)
        delta.removed.push_back(id);
    return delta;
}

UpstreamList applyDelta(const UpstreamList& list, const UpstreamDelta& delta)
{
    UpstreamList result { delta.to, {} };
    result.upstreams.reserve(list.upstreams.size() + delta.changed.size());
    auto changed = byName(delta.changed);
    std::unordered_set<base::UpstreamName> removed(delta.removed.begin(), delta.removed.end());
    for (const auto& upstream : list.upstreams) {
        if (removed.count(upstream.id))
            continue;
        auto found = changed.find(upstream.id);
        result.upstreams.push_back(found == changed.end() ? upstream : *found->second);
        if (found != changed.end())
            changed.erase(found);
    }
    for (const auto& upstream : delta.changed) {
        if (changed.count(upstream.id))
            result.upstreams.push_back(upstream);
    }
    return result;
}

} // namespace redwingseam::sync
