#pragma once

#include "log/LogLine.h"
#include "sync/FollowRule.h"
#include "sync/StoreReader.h"

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
        if (!m_isAnnounced) {
            auto error = m_reader.announceNode(m_self);
            m_isAnnounced = error.code == base::ResultCode::Ok;
            if (!m_isAnnounced) {
                LOG(WARNING) << log::LogLine("announce_failed").with("detail", error.detail).text();
                return false;
            }
        }
        if (m_hasListed && !m_follow.isLeader())
            return true;
        auto nodes = m_reader.listNodes();
        if (!nodes)
            return false;
        m_hasListed = true;
        m_taker.setNodes(std::move(nodes.value()));
        return true;
    }

private:
    Reader& m_reader;
    Taker& m_taker;
    const FollowRule& m_follow;
    NodeRecord m_self;
    bool m_isAnnounced = false;
    bool m_hasListed = false;
};

} // namespace redwingseam::sync
