#pragma once

#include "fleet/Fleet.h"
#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"
#include "sync/NodeRole.h"
#include "sync/OutageTracker.h"
#include "sync/PlatformStoreClient.h"
#include "sync/SkippedEntries.h"
#include "sync/StoreEra.h"
#include "sync/UpstreamListCache.h"

#include <algorithm>
#include <glog/logging.h>
#include <map>

namespace redwingseam::sync {

// Keeps the node's list of upstreams up to date with the store: reads the full list, then watches for changes. It reads
// the full list again at intervals, since a watch may miss changes.
template<PlatformStoreClient Client>
class UpstreamListTask {
public:
    // `maxAge` is the time within which this node must know a change in the store.
    UpstreamListTask(Client& client, fleet::Fleet& fleet, UpstreamListCache& upstreamCache, NodeRole& role, StoreEra& era, base::Duration maxAge)
        : m_store(client)
        , m_fleet(fleet)
        , m_upstreamCache(upstreamCache)
        , m_role(role)
        , m_era(era)
        , m_maxAge(maxAge)
        , m_watchTimeout(maxAge / 3)
        , m_fullListInterval(maxAge * 2)
    {
    }

    // Returns false if a call to the store failed.
    bool poll()
    {
        auto startedAt = base::BootClock {}.now();
        if (!m_role.shouldQueryStore(startedAt - m_fleet.listedAt(), m_maxAge)) {
            // This task does not see changes that other nodes reported, so a watch could not resume from its last
            // revision.
            m_canResumeWatch = false;
            m_role.setStoreLost(false);
            return true;
        }
        // After a restore the revision may name another state, and a watch from it would miss changes.
        bool isRevisionValid = m_canResumeWatch && m_version.era == m_era.current();
        bool needsFullList = !isRevisionValid || startedAt - m_lastFullListAt > m_fullListInterval;
        auto confirmedAt = needsFullList ? readFullList() : watchChanges();
        auto now = base::BootClock {}.now();
        m_role.setStoreLost(!confirmedAt);
        if (auto snapshot = m_upstreamCache.snapshot())
            m_outages.recordServedElsewhere(snapshot->confirmedAt);
        logStoreState(confirmedAt, now);
        if (!confirmedAt) {
            m_canResumeWatch = false;
            return false;
        }
        if (m_skipped.takeChange())
            LOG(WARNING) << log::LogLine("entries_skipped").with("count", m_skipped.count()).with("names", m_skipped.summary()).text();
        publish(confirmedAt.value(), now);
        return true;
    }

private:
    using InstanceMap = std::map<base::UpstreamName, fleet::UpstreamInstance>;

    static base::Error obsoleteResponse(uint64_t era) { return { base::ResultCode::PlatformUnavailable, "response of the earlier era " + std::to_string(era) }; }

    // This and watchChanges() return the time at which the list was valid.
    base::Result<base::Instant> readFullList()
    {
        auto startedAt = base::BootClock {}.now();
        auto listed = m_store.listUpstreams();
        if (!listed)
            return listed.error();
        if (!m_era.learn(listed.value().list.version.era, base::BootClock {}.now()))
            return obsoleteResponse(listed.value().list.version.era);
        InstanceMap current;
        for (const auto& instance : listed.value().list.upstreams)
            current.emplace(instance.id, instance);
        for (const auto& [id, instance] : current) {
            auto before = m_upstreams.find(id);
            if (before == m_upstreams.end() || before->second != instance)
                logChange(instance.isDraining ? "upstream_draining" : "upstream_listed", instance);
        }
        for (const auto& [id, instance] : m_upstreams) {
            if (!current.count(id))
                logChange("upstream_unlisted", instance);
        }
        m_upstreams = std::move(current);
        m_skipped.replace(listed.value().skipped);
        m_version = listed.value().list.version;
        m_canResumeWatch = true;
        m_lastFullListAt = startedAt;
        return startedAt;
    }

    base::Result<base::Instant> watchChanges()
    {
        auto startedAt = base::BootClock {}.now();
        auto result = m_store.watchUpstreams(m_version.revision, m_watchTimeout);
        if (!result)
            return result.error();
        auto now = base::BootClock {}.now();
        auto version = result.value().version;
        if (!m_era.learn(version.era, now))
            return obsoleteResponse(version.era);
        if (version.era != m_version.era)
            return readFullList();
        m_version = version;
        for (const auto& change : result.value().changes)
            apply(change);
        // A watch that ends without an error has returned all changes made before its end. Unless it lasted for its whole time,
        // its end can't be told: the response may have been late, or the process may have stood still.
        bool hasLasted = result.value().changes.empty() && now - startedAt >= m_watchTimeout;
        return hasLasted ? startedAt + m_watchTimeout : startedAt;
    }

    void apply(const UpstreamChange& change)
    {
        if (change.isSkipped)
            m_skipped.add(change.id);
        else
            m_skipped.remove(change.id);
        auto before = m_upstreams.find(change.id);
        if (change.current) {
            logChange(change.current->isDraining ? "upstream_draining" : "upstream_listed", *change.current);
            m_upstreams.insert_or_assign(change.id, *change.current);
        } else if (before != m_upstreams.end()) {
            logChange("upstream_unlisted", before->second);
            m_upstreams.erase(before);
        }
    }

    void publish(base::Instant confirmedAt, base::Instant now)
    {
        std::vector<fleet::UpstreamInstance> all;
        all.reserve(m_upstreams.size());
        for (const auto& [id, instance] : m_upstreams)
            all.push_back(instance);
        m_outages.recordRestore(m_era.restoredAt());
        auto grace = m_outages.missingEntryGrace(now);
        auto list = std::make_shared<const UpstreamList>(UpstreamList { m_version, std::move(all) });
        bool isAccepted = m_upstreamCache.update({ list, confirmedAt, grace });
        if (isAccepted)
            m_fleet.update(list->upstreams, confirmedAt, grace);
        logAcceptance(isAccepted);
    }

    // A list that another node only confirmed later is no sign of trouble.
    void logAcceptance(bool isAccepted)
    {
        auto current = m_upstreamCache.snapshot()->list->version;
        bool isRefused = !isAccepted && m_version < current;
        if (isRefused && !m_isListRefused)
            LOG(WARNING) << log::LogLine("upstream_list_refused").with("era", m_version.era).with("revision", m_version.revision).with("current_era", current.era).with("current_revision", current.revision).text();
        m_isListRefused = isRefused;
    }

    void logStoreState(const base::Result<base::Instant>& result, base::Instant now)
    {
        if (!m_outages.recordResult(bool(result), now))
            return;
        if (result)
            LOG(INFO) << log::LogLine("dependency_regained").with("dependency", "store.upstreams").text();
        else
            LOG(WARNING) << log::LogLine("dependency_lost").with("dependency", "store.upstreams").with("detail", result.error().detail).text();
    }

    static void logChange(const char* event, const fleet::UpstreamInstance& instance)
    {
        LOG(INFO) << log::LogLine(event).with("upstream", instance.id.text).with("service", instance.service.text).with("address", instance.address).with("data_centre", instance.dataCentre.text).with("incarnation", instance.incarnation).with("version", instance.version.text).text();
    }

    Client& m_store;
    fleet::Fleet& m_fleet;
    UpstreamListCache& m_upstreamCache;
    NodeRole& m_role;
    StoreEra& m_era;
    base::Duration m_maxAge;
    // Several watches end within `m_maxAge`, and each confirms that the list is up to date.
    base::Duration m_watchTimeout;
    // How often the full list is read although the watches succeed.
    base::Duration m_fullListInterval;
    OutageTracker m_outages;
    InstanceMap m_upstreams;
    SkippedEntries m_skipped;
    StoreVersion m_version;
    bool m_isListRefused = false;
    bool m_canResumeWatch = false;
    base::Instant m_lastFullListAt {};
};

} // namespace redwingseam::sync
