#pragma once

#include "log/LogLine.h"
#include "sync/NodeRole.h"
#include "sync/StoreReader.h"

#include <algorithm>
#include <atomic>
#include <glog/logging.h>

namespace redwingseam::sync {

// Enters this node in the store and learns of the others. `Listener::setNodes` is given each list.
template<StoreReader Reader, typename Listener>
class NodesTask {
public:
    NodesTask(Reader& reader, Listener& listener, const NodeRole& role, NodeRecord self)
        : m_reader(reader)
        , m_listener(listener)
        , m_role(role)
        , m_self(std::move(self))
    {
    }

    bool poll()
    {
        if (m_isAnnounced && !m_role.isLeader())
            return true;
        // The entry outlives the process, so most starts find it, and nodes come and go over minutes.
        if (!list(Freshness::Recent))
            return false;
        if (m_isAnnounced)
            return true;
        if (!announce())
            return false;
        m_isAnnounced = true;
        // Nodes that start for the first time, all at once, see each other only now.
        return list(Freshness::Latest);
    }

    // Whether the list was read since the start.
    bool hasListed() const { return m_hasListed; }

private:
    bool list(Freshness freshness)
    {
        auto nodes = m_reader.listNodes(freshness);
        if (!nodes)
            return false;
        if (std::find(nodes.value().begin(), nodes.value().end(), m_self) != nodes.value().end())
            m_isAnnounced = true;
        m_listener.setNodes(std::move(nodes.value()));
        m_hasListed = true;
        return true;
    }

    bool announce()
    {
        auto error = m_reader.announceNode(m_self);
        if (error.code == base::ResultCode::Ok)
            return true;
        LOG(WARNING) << log::LogLine("announce_failed").with("detail", error.detail).text();
        return false;
    }

    Reader& m_reader;
    Listener& m_listener;
    const NodeRole& m_role;
    NodeRecord m_self;
    bool m_isAnnounced = false;
    std::atomic<bool> m_hasListed { false };
};

} // namespace redwingseam::sync
