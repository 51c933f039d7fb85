#pragma once

#include "gateway/UpstreamConnection.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace redwingseam::gateway {

// Connections to upstreams that are kept for the next request, for one event loop.
template<typename Owner>
class ConnectionCache {
public:
    using Connection = UpstreamConnection<Owner>;

    // The most recently used connection to `instance` that is fit for another request; null if none is.
    std::unique_ptr<Connection> take(const fleet::UpstreamInstance& instance, base::Instant now)
    {
        auto& kept = m_kept[instance.id];
        while (!kept.empty()) {
            auto connection = std::move(kept.back());
            kept.pop_back();
            if (isFit(*connection, instance, now))
                return connection;
        }
        return nullptr;
    }

    void keep(std::unique_ptr<Connection> connection)
    {
        connection->setOwner(nullptr);
        m_kept[connection->instance().id].push_back(std::move(connection));
    }

    // Closes connections that were idle for too long or have been closed by the other side.
    void tick(base::Instant now)
    {
        for (auto pool = m_kept.begin(); pool != m_kept.end();) {
            std::erase_if(pool->second, [&](const auto& connection) { return !isFit(*connection, connection->instance(), now); });
            pool = pool->second.empty() ? m_kept.erase(pool) : std::next(pool);
        }
    }

private:
    static bool isFit(const Connection& connection, const fleet::UpstreamInstance& instance, base::Instant now)
    {
        bool isSame = connection.instance().address == instance.address && connection.instance().incarnation == instance.incarnation;
        return isSame && connection.isReusable() && now - connection.idleSince() < connection.idleLimit();
    }

    std::unordered_map<base::UpstreamName, std::vector<std::unique_ptr<Connection>>> m_kept;
};

} // namespace redwingseam::gateway
