#pragma once

#include "log/LogLine.h"
#include "manifest/ManifestHolder.h"
#include "redwingseam/base/BootClock.h"
#include "sync/NodeRole.h"
#include "sync/OutageTracker.h"
#include "sync/PlatformStoreClient.h"
#include "sync/StoreEra.h"

#include <glog/logging.h>

namespace redwingseam::sync {

// Keeps the node's manifest up to date with the store, and records when it was last confirmed to be the newest.
template<PlatformStoreClient Client>
class ManifestTask {
public:
    // `maxAge` is the time within which this node must know a change of the manifest.
    ManifestTask(Client& client, manifest::ManifestHolder& holder, const NodeRole& role, StoreEra& era, base::Duration maxAge)
        : m_store(client)
        , m_holder(holder)
        , m_role(role)
        , m_era(era)
        , m_maxAge(maxAge)
    {
    }

    // Returns false if a call to the store failed.
    bool poll()
    {
        auto startedAt = base::BootClock {}.now();
        if (!m_role.shouldQueryStore(startedAt - m_holder.state().confirmedAt, m_maxAge))
            return true;
        auto read = m_store.readManifest();
        bool isChanged = m_outages.recordResult(bool(read), base::BootClock {}.now());
        if (isChanged && read)
            LOG(INFO) << log::LogLine("dependency_regained").with("dependency", "store.manifest").text();
        if (isChanged && !read)
            LOG(WARNING) << log::LogLine("dependency_lost").with("dependency", "store.manifest").with("detail", read.error().detail).text();
        if (!read)
            return false;
        if (!m_era.learn(read.value().era, base::BootClock {}.now()))
            return false;
        logOlderVersion(read.value().version);
        // Replaces nothing as a time of confirmation.
        auto confirmedAt = mayLackVersions(startedAt) ? base::Instant {} : startedAt;
        if (!read.value().changed)
            m_holder.confirmUnchanged(read.value().version, confirmedAt);
        else if (m_holder.update(std::move(*read.value().changed), std::move(read.value().text), confirmedAt))
            LOG(INFO) << log::LogLine("manifest_in_force").with("version", read.value().version).text();
        // Nodes on which others rely ask again soon.
        return !mayLackVersions(startedAt) || !m_role.isResponsible();
    }

private:
    // Versions that a restored store lost are written again, and peers may know them, so what it returns first need not be
    // the newest version.
    static constexpr base::Duration versionRecoveryTime = std::chrono::seconds(1);

    bool mayLackVersions(base::Instant readBegan) const { return readBegan - m_era.restoredAt() < versionRecoveryTime; }

    void logOlderVersion(uint64_t version)
    {
        auto state = m_holder.state();
        bool isOlder = state.index && version < state.index->manifest().version;
        if (isOlder && version != m_lastOlderVersion)
            LOG(WARNING) << log::LogLine("store_manifest_older").with("version", version).with("in_force", state.index->manifest().version).text();
        m_lastOlderVersion = isOlder ? version : 0;
    }

    Client& m_store;
    manifest::ManifestHolder& m_holder;
    const NodeRole& m_role;
    StoreEra& m_era;
    base::Duration m_maxAge;
    OutageTracker m_outages;
    // The version that the store returned last, if it was older than the one in force.
    uint64_t m_lastOlderVersion = 0;
};

} // namespace redwingseam::sync
