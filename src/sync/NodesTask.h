#pragma once

#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"
#include "redwingseam/base/Clock.h"
#include "sync/NodeListener.h"
#include "sync/NodeRole.h"
#include "sync/PlatformStoreClient.h"
#include "sync/StoreEra.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <glog/logging.h>
#include <optional>

namespace redwingseam::sync {

// Registers this node in the store, again if the entry is missing, and reads the list of nodes. Each list is passed to
// `Listener::setNodes`. Deletes the entries of nodes that the listener takes for gone.
template<PlatformStoreClient Client, NodeListener Listener, base::Clock Clock = base::BootClock>
class NodesTask {
public:
    NodesTask(Client& client, Listener& listener, const NodeRole& role, StoreEra& era, NodeRecord self, Clock clock = {})
        : m_store(client)
        , m_listener(listener)
        , m_role(role)
        , m_era(era)
        , m_self(std::move(self))
        , m_clock(clock)
    {
    }

    // Returns false if a call to the store failed.
    bool poll()
    {
        if (mayBeUnregistered())
            m_isRegistered = false;
        if (m_isRegistered && !isListDue())
            return true;
        // A list that is some seconds old suffices: the entry outlives the process, so most starts find it, and nodes
        // are added and removed over minutes.
        if (!readNodes(Freshness::Recent))
            return false;
        if (m_isRegistered) {
            removeGoneNodes();
            return true;
        }
        if (!registerSelf())
            return false;
        m_isRegistered = true;
        m_registeredAt = m_clock.now();
        // Nodes that start simultaneously for the first time find each other only in this second list.
        return readNodes(Freshness::Latest);
    }

    // Returns whether the list has been read since the start.
    bool hasListed() const { return m_hasListed; }

private:
    // A restored store may lack the entry. Reads that may be old could still return it from before the restore, and no
    // node needs the entry at once.
    bool mayPrecedeRestore() const { return m_clock.now() - m_era.restoredAt() <= maxReadAge; }
    bool mayBeUnregistered() const { return m_era.current() != m_registeredIn && !mayPrecedeRestore(); }

    bool isListDue()
    {
        if (m_role.isLeader())
            return true;
        auto age = m_clock.now() - m_listedAt;
        return age >= m_listInterval || (age >= removalInterval && !m_listener.goneNodes().empty());
    }

    bool readNodes(Freshness freshness)
    {
        auto nodes = m_store.listNodes(freshness);
        if (!nodes || !m_era.learn(nodes.value().era, m_clock.now()))
            return false;
        auto& entries = nodes.value().nodes;
        bool isListed = std::find(entries.begin(), entries.end(), m_self) != entries.end();
        if (isListed)
            recordEntry(nodes.value().era, freshness);
        // The others take a node that is cut off from them for gone, and delete its entry.
        else if (m_clock.now() - m_registeredAt > maxReadAge)
            m_isRegistered = false;
        m_listener.setNodes(std::move(entries));
        m_listedAt = m_clock.now();
        m_hasListed = true;
        return true;
    }

    // Entries that are not removed now are found again after the next list.
    void removeGoneNodes()
    {
        auto gone = m_listener.goneNodes();
        for (size_t i = 0; i < std::min(gone.size(), maxRemovalsPerList); ++i) {
            auto error = m_store.removeNode(gone[i]);
            if (error.code != base::ResultCode::Ok && error.code != base::ResultCode::PlatformConflict) {
                LOG(WARNING) << log::LogLine("node_removal_failed").with("node", gone[i].name.text).with("detail", error.detail).text();
                return;
            }
            if (error.code == base::ResultCode::PlatformConflict)
                continue;
            LOG(INFO) << log::LogLine("node_removed").with("node", gone[i].name.text).text();
            m_listener.recordRemoval(gone[i]);
        }
    }

    bool registerSelf()
    {
        auto error = m_store.registerNode(m_self);
        if (error.code == base::ResultCode::Ok)
            return true;
        LOG(WARNING) << log::LogLine("announce_failed").with("detail", error.detail).text();
        return false;
    }

    void recordEntry(uint64_t era, Freshness freshness)
    {
        m_isRegistered = true;
        if (freshness == Freshness::Latest || !mayPrecedeRestore())
            m_registeredIn = era;
    }

    // Results of reads with Freshness::Recent are younger than this.
    static constexpr base::Duration maxReadAge = std::chrono::seconds(5);
    // How often a node reads the list that does not read it for the others. Nodes that start together do not read it together.
    static constexpr base::Duration minListInterval = std::chrono::minutes(10);
    static constexpr base::Duration maxListJitter = std::chrono::minutes(5);
    // While entries are to be deleted.
    static constexpr base::Duration removalInterval = std::chrono::seconds(30);
    // Each takes a read and a write.
    static constexpr size_t maxRemovalsPerList = 4;

    Client& m_store;
    Listener& m_listener;
    const NodeRole& m_role;
    StoreEra& m_era;
    NodeRecord m_self;
    Clock m_clock;
    base::Duration m_listInterval = minListInterval + base::Duration(static_cast<base::Duration::rep>(std::hash<std::string> {}(m_self.name.text) % static_cast<size_t>(maxListJitter.count())));
    bool m_isRegistered = false;
    base::Instant m_registeredAt {};
    base::Instant m_listedAt {};
    // The era in which the entry was last seen in the store.
    std::optional<uint64_t> m_registeredIn;
    std::atomic<bool> m_hasListed { false };
};

} // namespace redwingseam::sync
