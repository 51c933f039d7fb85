#pragma once

#include "fleet/Fleet.h"
#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"
#include "sync/OutageTracker.h"
#include "sync/StoreReader.h"

#include <glog/logging.h>
#include <map>

namespace redwingseam::sync {

// Keeps the node's list of upstreams as new as the store's.
template<StoreReader Reader>
class FleetTask {
public:
    FleetTask(Reader& reader, fleet::Fleet& fleet)
        : m_reader(reader)
        , m_fleet(fleet)
    {
    }

    bool poll()
    {
        auto began = base::BootClock {}.now();
        auto listed = m_reader.listUpstreams();
        auto now = base::BootClock {}.now();
        bool isChanged = m_outages.note(bool(listed), now);
        if (isChanged && listed)
            LOG(INFO) << log::LogLine("dependency_regained").with("dependency", "store.upstreams").text();
        if (isChanged && !listed)
            LOG(WARNING) << log::LogLine("dependency_lost").with("dependency", "store.upstreams").with("detail", listed.error().detail).text();
        if (!listed)
            return false;
        logChanges(listed.value());
        m_fleet.update(listed.value(), began, m_outages.missingGrace(now));
        return true;
    }

private:
    using InstanceMap = std::map<base::UpstreamName, fleet::UpstreamInstance>;

    void logChanges(const std::vector<fleet::UpstreamInstance>& listed)
    {
        InstanceMap current;
        for (const auto& instance : listed)
            current.emplace(instance.id, instance);
        for (const auto& [id, instance] : current) {
            auto before = m_known.find(id);
            if (before == m_known.end())
                logChange("upstream_listed", instance);
            else if (before->second != instance)
                logChange(instance.isDraining ? "upstream_draining" : "upstream_changed", instance);
        }
        for (const auto& [id, instance] : m_known) {
            if (!current.count(id))
                logChange("upstream_unlisted", instance);
        }
        m_known = std::move(current);
    }

    static void logChange(const char* event, const fleet::UpstreamInstance& instance)
    {
        LOG(INFO) << log::LogLine(event).with("upstream", instance.id.text).with("service", instance.service.text).with("address", instance.address).with("data_centre", instance.dataCentre.text).with("incarnation", instance.incarnation).text();
    }

    Reader& m_reader;
    fleet::Fleet& m_fleet;
    OutageTracker m_outages;
    InstanceMap m_known;
};

} // namespace redwingseam::sync
