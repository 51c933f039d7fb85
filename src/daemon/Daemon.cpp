#include "daemon/Daemon.h"

#include "base/Ticker.h"
#include "daemon/AdminHandler.h"
#include "daemon/ProbeSchedule.h"
#include "daemon/VmConfig.h"
#include "daemon/VmIo.h"
#include "daemon/VmNode.h"
#include "http/RequestServer.h"
#include "log/LogLine.h"

#include <glog/logging.h>

namespace redwingseam::daemon {

struct Daemon::Parts {
    explicit Parts(const VmConfig& settings)
        : config(settings)
        , node(config.node)
        , events(node)
        , io(config, events)
        , admin(node, io)
        , probes(config.node.dataCentre)
    {
        node.router().setTarget(io);
    }

    VmConfig config;
    VmNode node;
    NodeEvents events;
    VmIo io;
    AdminHandler admin;
    ProbeSchedule probes;
    std::unique_ptr<http::RequestServer<AdminHandler>> adminServer;
    std::unique_ptr<base::Ticker> ticker;
};

Daemon::Daemon(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

Daemon::~Daemon()
{
    m_parts->ticker.reset();
    m_parts->adminServer.reset();
    m_parts->io.stop();
}

static base::Error cannotListen(const http::ListenAddress& address)
{
    return { base::ResultCode::SocketFailure, address.text() + ": cannot listen" };
}

base::Result<std::unique_ptr<Daemon>> Daemon::start(const VmConfig& config)
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<Parts>(config)));
    auto& parts = *daemon->m_parts;
    if (!parts.io.peersIn.start(config.peers))
        return cannotListen(config.peers);
    parts.node.node().start();
    parts.adminServer = std::make_unique<http::RequestServer<AdminHandler>>(parts.admin, config.admin);
    if (!parts.adminServer->isListening())
        return cannotListen(config.admin);
    if (!parts.io.callers.start(config.callers))
        return cannotListen(config.callers);
    parts.ticker = std::make_unique<base::Ticker>("ticker", node::tickInterval, [&parts] {
        auto now = base::MonotonicClock {}.now();
        parts.events.handle(node::Tick {});
        parts.io.store.tick(now);
        for (const auto& upstream : parts.probes.due(parts.node.node().upstreams(), now))
            parts.io.upstreams.probe(upstream);
    });
    LOG(INFO) << log::LogLine("started").with("vm", config.node.self.text).with("callers", config.callers.text()).text();
    return daemon;
}

bool Daemon::drain()
{
    static constexpr base::Duration checkInterval = std::chrono::milliseconds(100);
    auto& parts = *m_parts;
    LOG(INFO) << log::LogLine("draining").with("requests", parts.node.node().status().requests).text();
    parts.node.node().beginDrain();
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    auto deadline = base::MonotonicClock {}.now() + parts.config.drainTimeout;
    while (base::MonotonicClock {}.now() < deadline) {
        if (parts.node.node().isDrained() && !parts.io.callers.openConnections())
            return true;
        condition.waitFor(mutex, checkInterval);
    }
    return false;
}

} // namespace redwingseam::daemon
