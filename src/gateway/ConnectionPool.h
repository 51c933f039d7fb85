#pragma once

#include "gateway/UpstreamConnection.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace redwingseam::gateway {

// Pool of idle upstream connections of one event loop.
template<typename Owner>
class ConnectionPool {
public:
    using Connection = UpstreamConnection<Owner>;

    // Returns the most recently used reusable connection to `instance`, or null if there is none. Others that it finds are
    // closed, and deleted at the next `tick`: the current batch of events may still refer to them.
    std::unique_ptr<Connection> acquire(const fleet::UpstreamInstance& instance, base::Instant now)
    {
        auto& idle = m_idle[instance.id];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (isReusable(*connection, instance, now) && !connection->hasUnreadInput())
                return connection;
            connection->close();
            m_discarded.push_back(std::move(connection));
        }
        return nullptr;
    }

    void release(std::unique_ptr<Connection> connection)
    {
        connection->setOwner(nullptr);
        m_idle[connection->instance().id].push_back(std::move(connection));
    }

    // Closes connections that were idle for too long or that the upstream has closed. Must not be called while events are
    // handled.
    void tick(base::Instant now)
    {
        m_discarded.clear();
        for (auto entry = m_idle.begin(); entry != m_idle.end();) {
            std::erase_if(entry->second, [&](const auto& connection) { return !isReusable(*connection, connection->instance(), now); });
            entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
        }
    }

private:
    static bool isReusable(const Connection& connection, const fleet::UpstreamInstance& instance, base::Instant now)
    {
        bool isSameInstance = connection.instance().address == instance.address && connection.instance().incarnation == instance.incarnation;
        return isSameInstance && connection.isReusable() && now - connection.idleSince() < connection.idleTimeout();
    }

    std::unordered_map<base::UpstreamName, std::vector<std::unique_ptr<Connection>>> m_idle;
    std::vector<std::unique_ptr<Connection>> m_discarded;
};

} // namespace redwingseam::gateway
