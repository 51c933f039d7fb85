#pragma once

#include "fakes/FleetFixture.h"
#include "fakes/ScriptedUpstream.h"
#include "gateway/Acceptor.h"
#include "gateway/WorkerPool.h"
#include "platform/PlatformHeaderCodec.h"

#include <memory>

namespace redwingseam::fakes {

// A gateway on a loopback port that forwards to scripted upstreams and has no store.
template<gateway::HeaderCodec Codec>
class BasicGatewayFixture {
public:
    using WorkerPool = gateway::WorkerPool<Codec>;

    explicit BasicGatewayFixture(base::Duration terminationGrace = std::chrono::seconds(8))
        : state(settings(terminationGrace))
        , m_workers(state)
    {
        state.origins.setHistoryKnown();
        state.manifest.update(FleetFixture::makeManifest(), {}, base::BootClock {}.now());
        base::FileDescriptor listener = gateway::listenOn({ "127.0.0.1", 0 });
        sockaddr_in address {};
        socklen_t length = sizeof address;
        getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_acceptor = std::make_unique<gateway::Acceptor<WorkerPool>>(std::move(listener), m_workers);
    }

    // Adds an upstream to the fleet. Upstreams in the gateway's own data centre, dc-a, are preferred.
    void addUpstream(const std::string& id, const std::string& service, const ScriptedUpstream& upstream, const std::string& dataCentre = "dc-a", const std::string& version = {})
    {
        addUpstream(id, service, upstream.address(), dataCentre, version);
    }
    void addUpstream(const std::string& id, const std::string& service, const std::string& address, const std::string& dataCentre = "dc-a", const std::string& version = {})
    {
        m_instances.push_back({ { id }, { service }, address, { dataCentre }, 1, 6, false, { version } });
        state.fleet.update(m_instances, base::BootClock {}.now(), {});
    }

    // Returns the address at which clients connect.
    sockaddr_in address() const
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    // Opens a client connection; the destructor of the result closes it.
    base::FileDescriptor connectClient() const
    {
        base::FileDescriptor result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        auto address = this->address();
        connect(result.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        return result;
    }

    static void write(const base::FileDescriptor& client, const std::string& bytes)
    {
        send(client.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    // Returns what is received until `until` appears, the connection closes, or no data arrives for
    // `timeoutMs`.
    static std::string read(const base::FileDescriptor& client, const std::string& until = "\r\n0\r\n\r\n", int timeoutMs = 3000)
    {
        std::string received;
        char buffer[4096];
        while (received.find(until) == std::string::npos) {
            pollfd pollEntry { client.descriptor(), POLLIN, 0 };
            if (poll(&pollEntry, 1, timeoutMs) <= 0)
                break;
            auto count = recv(client.descriptor(), buffer, sizeof buffer, 0);
            if (count <= 0)
                return received + "<closed>";
            received.append(buffer, static_cast<size_t>(count));
        }
        return received;
    }

    // Sends one request on a new connection and returns the whole response.
    std::string exchange(const std::string& request) const
    {
        auto client = connectClient();
        write(client, request);
        return read(client, "<never>", 1500);
    }

    static std::string get(const std::string& path, const std::string& extraHeaders = {})
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Deadline-Ms: 2500\r\nRedwingseam-Key: key\r\nConnection: close\r\n" + extraHeaders + "\r\n";
    }

    static std::string post(const std::string& path, const std::string& body, const std::string& extraHeaders = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRedwingseam-Attempt-Id: a1\r\nRedwingseam-Deadline-Ms: 2500\r\nRedwingseam-Key: key\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extraHeaders + "\r\n" + body;
    }

    // Returns a 200 response with the upstream's seal and a Content-Length.
    static std::string ok(const std::string& body, const std::string& extraHeaders = {})
    {
        return "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extraHeaders + "\r\n" + body;
    }

    static std::string streamHead() { return "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"; }

    // Returns one server-sent event as an HTTP chunk.
    static std::string event(unsigned id)
    {
        auto text = "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }

    gateway::Acceptor<WorkerPool>& acceptor() { return *m_acceptor; }

    gateway::GatewayState state;

private:
    static gateway::GatewaySettings settings(base::Duration terminationGrace)
    {
        gateway::GatewaySettings settings;
        settings.vmName.text = "vm";
        settings.dataCentre.text = "dc-a";
        settings.revocationBound = std::chrono::hours(1);
        settings.terminationGrace = terminationGrace;
        // Buffers of 16 MiB.
        settings.memoryBytes = 64 * 1024 * 1024;
        settings.retries = { 0.8, 1000, std::chrono::seconds(10) };
        return settings;
    }

    std::vector<fleet::UpstreamInstance> m_instances;
    WorkerPool m_workers;
    uint16_t m_port = 0;
    std::unique_ptr<gateway::Acceptor<WorkerPool>> m_acceptor;
};

using GatewayFixture = BasicGatewayFixture<platform::PlatformHeaderCodec>;

} // namespace redwingseam::fakes
