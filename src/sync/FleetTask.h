#pragma once

#include "fleet/Fleet.h"
#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"
#include "sync/FollowRule.h"
#include "sync/OutageTracker.h"
#include "sync/StoreReader.h"
#include "sync/UpstreamBoard.h"

#include <glog/logging.h>
#include <map>

namespace redwingseam::sync {

// Keeps the node's list of upstreams as new as the store's: lists it, then waits for changes, and lists
// it again now and then, since a watch may miss some.
template<StoreReader Reader>
class FleetTask {
public:
    // `bound`: how long a change may take to be known.
    FleetTask(Reader& reader, fleet::Fleet& fleet, UpstreamBoard& board, const FollowRule& follow, base::Duration bound)
        : m_reader(reader)
        , m_fleet(fleet)
        , m_board(board)
        , m_follow(follow)
        , m_bound(bound)
        , m_watchTime(bound / 3)
        , m_listInterval(bound * 2)
    {
    }

    bool poll()
    {
        auto began = base::BootClock {}.now();
        if (!m_follow.asksStore(began - m_fleet.listedAt(), m_bound)) {
            // Changes that others told of are unknown here, so a watch could not go on from the last one.
            m_isListed = false;
            return true;
        }
        bool mustList = !m_isListed || began - m_listedAt > m_listInterval;
        auto error = mustList ? list(began) : watch();
        auto now = base::BootClock {}.now();
        bool succeeded = error.code == base::ResultCode::Ok;
        noteDependency(succeeded, error, now);
        if (!succeeded) {
            m_isListed = false;
            return false;
        }
        // A watch that ends in order has told all that changed before it ended.
        apply(mustList ? began : now, now);
        return true;
    }

private:
    using InstanceMap = std::map<base::UpstreamName, fleet::UpstreamInstance>;

    base::Error list(base::Instant began)
    {
        auto listed = m_reader.listUpstreams();
        if (!listed)
            return listed.error();
        InstanceMap current;
        for (const auto& instance : listed.value().upstreams)
            current.emplace(instance.id, instance);
        for (const auto& [id, instance] : current) {
            auto before = m_known.find(id);
            if (before == m_known.end() || before->second != instance)
                logChange(instance.isDraining ? "upstream_draining" : "upstream_listed", instance);
        }
        for (const auto& [id, instance] : m_known) {
            if (!current.count(id))
                logChange("upstream_unlisted", instance);
        }
        m_known = std::move(current);
        m_revision = listed.value().revision;
        m_isListed = true;
        m_listedAt = began;
        return {};
    }

    base::Error watch()
    {
        auto changes = m_reader.watchUpstreams(m_revision, m_watchTime);
        if (!changes)
            return changes.error();
        m_revision = changes.value().revision;
        for (const auto& change : changes.value().changes)
            apply(change);
        return {};
    }

    void apply(const UpstreamChange& change)
    {
        auto before = m_known.find(change.id);
        if (change.current) {
            logChange(change.current->isDraining ? "upstream_draining" : "upstream_listed", *change.current);
            m_known.insert_or_assign(change.id, *change.current);
        } else if (before != m_known.end()) {
            logChange("upstream_unlisted", before->second);
            m_known.erase(before);
        }
    }

    void apply(base::Instant readAt, base::Instant now)
    {
        std::vector<fleet::UpstreamInstance> all;
        all.reserve(m_known.size());
        for (const auto& [id, instance] : m_known)
            all.push_back(instance);
        auto grace = m_outages.missingGrace(now);
        auto list = std::make_shared<const UpstreamList>(UpstreamList { m_revision, std::move(all) });
        if (m_board.post({ list, readAt, grace }))
            m_fleet.update(list->upstreams, readAt, grace);
    }

    void noteDependency(bool succeeded, const base::Error& error, base::Instant now)
    {
        if (!m_outages.note(succeeded, now))
            return;
        if (succeeded)
            LOG(INFO) << log::LogLine("dependency_regained").with("dependency", "store.upstreams").text();
        else
            LOG(WARNING) << log::LogLine("dependency_lost").with("dependency", "store.upstreams").with("detail", error.detail).text();
    }

    static void logChange(const char* event, const fleet::UpstreamInstance& instance)
    {
        LOG(INFO) << log::LogLine(event).with("upstream", instance.id.text).with("service", instance.service.text).with("address", instance.address).with("data_centre", instance.dataCentre.text).with("incarnation", instance.incarnation).text();
    }

    Reader& m_reader;
    fleet::Fleet& m_fleet;
    UpstreamBoard& m_board;
    const FollowRule& m_follow;
    base::Duration m_bound;
    base::Duration m_watchTime;
    base::Duration m_listInterval;
    OutageTracker m_outages;
    InstanceMap m_known;
    uint64_t m_revision = 0;
    bool m_isListed = false;
    base::Instant m_listedAt {};
};

} // namespace redwingseam::sync
