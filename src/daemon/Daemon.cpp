#include "daemon/Daemon.h"

#include "base/HeapTrimmer.h"
#include "base/Ticker.h"
#include "daemon/AdminHandler.h"
#include "daemon/ProbeSchedule.h"
#include "daemon/VmConfig.h"
#include "daemon/VmIo.h"
#include "daemon/VmNode.h"
#include "http/BlockingServer.h"
#include "log/LogLine.h"

#include <glog/logging.h>

namespace redwingseam::daemon {

struct Daemon::Components {
    explicit Components(const VmConfig& settings)
        : config(settings)
        , node(config.node)
        , eventSink(node)
        , io(config, eventSink)
        , admin(node, io)
        , probes(config.node.dataCentre)
    {
        node.router().setTarget(io);
    }

    VmConfig config;
    VmNode node;
    NodeEventSink eventSink;
    VmIo io;
    AdminHandler admin;
    ProbeSchedule probes;
    base::HeapTrimmer heap;
    std::unique_ptr<http::BlockingServer<AdminHandler>> adminServer;
    std::unique_ptr<base::Ticker> ticker;
};

Daemon::Daemon(std::unique_ptr<Components> components)
    : m_components(std::move(components))
{
}

Daemon::~Daemon()
{
    m_components->ticker.reset();
    m_components->adminServer.reset();
    m_components->io.stop();
}

static base::Error listenError(const http::SocketAddress& address)
{
    return { base::ResultCode::SocketFailure, address.text() + ": cannot listen" };
}

base::Result<std::unique_ptr<Daemon>> Daemon::start(const VmConfig& config)
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<Components>(config)));
    auto& components = *daemon->m_components;
    if (!components.io.peerServer.start(config.peerAddress))
        return listenError(config.peerAddress);
    components.node.node().start();
    components.adminServer = std::make_unique<http::BlockingServer<AdminHandler>>(components.admin, config.adminAddress, http::adminLimits);
    if (!components.adminServer->isListening())
        return listenError(config.adminAddress);
    if (!components.io.callerServer.start(config.callerAddress))
        return listenError(config.callerAddress);
    components.ticker = std::make_unique<base::Ticker>("ticker", node::tickInterval, [&components] {
        auto now = base::MonotonicClock {}.now();
        components.eventSink.handle(node::Tick {});
        components.io.storeClient.tick(now);
        auto& bodies = components.io.callerServer.bodies();
        components.heap.update(bodies.takePeakBytes(), bodies.usedBytes(), now);
        for (const auto& upstream : components.probes.dueUpstreams(components.node.node().upstreams(), now))
            components.io.upstreamClient.probe(upstream);
    });
    LOG(INFO) << log::LogLine("started").with("vm", config.node.self.text).with("callers", config.callerAddress.text()).text();
    return daemon;
}

bool Daemon::drain()
{
    static constexpr base::Duration checkInterval = std::chrono::milliseconds(100);
    auto& components = *m_components;
    LOG(INFO) << log::LogLine("draining").with("requests", components.node.node().status().requests).text();
    components.node.node().beginDrain();
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    auto deadline = base::MonotonicClock {}.now() + components.config.drainTimeout;
    while (base::MonotonicClock {}.now() < deadline) {
        if (components.node.node().isDrained() && !components.io.callerServer.unfinishedRequests())
            return true;
        condition.waitFor(mutex, checkInterval);
    }
    return false;
}

} // namespace redwingseam::daemon
