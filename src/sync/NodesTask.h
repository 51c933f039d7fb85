#pragma once

#include "log/LogLine.h"
#include "redwingseam/base/BootClock.h"
#include "sync/NodeRole.h"
#include "sync/PlatformStoreClient.h"
#include "sync/StoreEra.h"

#include <algorithm>
#include <atomic>
#include <glog/logging.h>
#include <optional>

namespace redwingseam::sync {

// Registers this node in the store, again after a restore, and reads the list of nodes. Each list is passed to
// `Listener::setNodes`.
template<PlatformStoreClient Client, typename Listener>
class NodesTask {
public:
    NodesTask(Client& client, Listener& listener, const NodeRole& role, StoreEra& era, NodeRecord self)
        : m_store(client)
        , m_listener(listener)
        , m_role(role)
        , m_era(era)
        , m_self(std::move(self))
    {
    }

    // Returns false if a call to the store failed.
    bool poll()
    {
        if (mayBeUnregistered())
            m_isRegistered = false;
        if (m_isRegistered && !m_role.isLeader())
            return true;
        // A list that is some seconds old suffices: the entry outlives the process, so most starts find it, and nodes
        // are added and removed over minutes.
        if (!readNodes(Freshness::Recent))
            return false;
        if (m_isRegistered)
            return true;
        if (!registerSelf())
            return false;
        m_isRegistered = true;
        // Nodes that start simultaneously for the first time find each other only in this second list.
        return readNodes(Freshness::Latest);
    }

    // Returns whether the list has been read since the start.
    bool hasListed() const { return m_hasListed; }

private:
    // A restored store may lack the entry. Reads that may be old could still return it from before the restore, and no
    // node needs the entry at once.
    bool mayPrecedeRestore() const { return base::BootClock {}.now() - m_era.restoredAt() <= maxReadAge; }
    bool mayBeUnregistered() const { return m_era.current() != m_registeredIn && !mayPrecedeRestore(); }

    bool readNodes(Freshness freshness)
    {
        auto nodes = m_store.listNodes(freshness);
        if (!nodes || !m_era.learn(nodes.value().era, base::BootClock {}.now()))
            return false;
        auto& entries = nodes.value().nodes;
        if (std::find(entries.begin(), entries.end(), m_self) != entries.end())
            recordEntry(nodes.value().era, freshness);
        m_listener.setNodes(std::move(entries));
        m_hasListed = true;
        return true;
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

    Client& m_store;
    Listener& m_listener;
    const NodeRole& m_role;
    StoreEra& m_era;
    NodeRecord m_self;
    bool m_isRegistered = false;
    // The era in which the entry was last seen in the store.
    std::optional<uint64_t> m_registeredIn;
    std::atomic<bool> m_hasListed { false };
};

} // namespace redwingseam::sync
