#pragma once

#include "log/LogLine.h"
#include "sync/FollowRule.h"
#include "sync/StoreReader.h"

#include <algorithm>
#include <atomic>
#include <glog/logging.h>

namespace redwingseam::sync {

// Enters this node in the store and learns of the others. `Taker::setNodes` is given each list.
template<StoreReader Reader, typename Taker>
class NodesTask {
public:
    NodesTask(Reader& reader, Taker& taker, const FollowRule& follow, NodeRecord self)
        : m_reader(reader)
        , m_taker(taker)
        , m_follow(follow)
        , m_self(std::move(self))
    {
    }

    bool poll()
    {
        if (m_isAnnounced && !m_follow.isLeader())
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
        m_taker.setNodes(std::move(nodes.value()));
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
    Taker& m_taker;
    const FollowRule& m_follow;
    NodeRecord m_self;
    bool m_isAnnounced = false;
    std::atomic<bool> m_hasListed { false };
};

} // namespace redwingseam::sync
