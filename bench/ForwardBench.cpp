#include "Benches.h"
#include "FigureReporter.h"
#include "FixedBodyHandler.h"
#include "GatewayCpuClock.h"
#include "StreamingEngine.h"

#include "fakes/GatewayFixture.h"
#include "http/BlockingClient.h"
#include "http/BlockingServer.h"

#include <ctime>
#include <fstream>
#include <glog/logging.h>
#include <unistd.h>

namespace redwingseam::bench {

using fakes::GatewayFixture;
using fakes::ScriptedUpstream;

namespace {

    constexpr int plainRequests = 4000;
    constexpr int openStreams = 200;
    constexpr int eventsPerStream = 150;
    constexpr double nanosPerMicro = 1000;

    uint16_t freePort()
    {
        auto listener = gateway::listenOn({ "127.0.0.1", 0 });
        sockaddr_in address {};
        socklen_t length = sizeof address;
        getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

    double residentBytes()
    {
        std::ifstream file("/proc/self/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

    double processCpuMicros()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / nanosPerMicro;
    }

    // Returns the processor time of client and server for one request without a gateway, using the
    // project's own HTTP client and server.
    double microsPerDirectRequest()
    {
        FixedBodyHandler handler;
        auto port = freePort();
        http::BlockingServer<FixedBodyHandler> server(handler, { "127.0.0.1", port });
        auto url = "http://127.0.0.1:" + std::to_string(port) + "/x";
        http::BlockingClient client;
        auto before = processCpuMicros();
        for (int i = 0; i < plainRequests; ++i) {
            http::HttpRequest request { "GET", url };
            request.timeout = std::chrono::seconds(2);
            client.exchange(request);
        }
        return (processCpuMicros() - before) / plainRequests;
    }

    double microsPerPlainRequest()
    {
        GatewayFixture gateway;
        ScriptedUpstream upstream(std::vector<fakes::ScriptedResponse>(plainRequests, { GatewayFixture::ok(std::string(800, 'x')) }));
        gateway.addUpstream("d1", "desk", upstream);
        auto client = gateway.connectClient();
        auto request = GatewayFixture::get("/read/x");
        request.erase(request.find("Connection: close\r\n"), std::string("Connection: close\r\n").size());
        auto before = gatewayCpuNanos();
        for (int i = 0; i < plainRequests; ++i) {
            GatewayFixture::write(client, request);
            GatewayFixture::read(client, "xxxx");
        }
        return (gatewayCpuNanos() - before) / nanosPerMicro / plainRequests;
    }

    void measureStreams(FigureReporter& figures)
    {
        GatewayFixture gateway;
        StreamingEngine engine;
        gateway.addUpstream("e1", "engines", engine.address());
        std::vector<base::FileDescriptor> clients;
        auto residentBefore = residentBytes();
        for (int i = 0; i < openStreams; ++i) {
            clients.push_back(gateway.connectClient());
            GatewayFixture::write(clients.back(), GatewayFixture::get("/stream/x"));
            engine.acceptStream();
            GatewayFixture::read(clients.back(), "data: e1\n\n");
        }
        auto bytes = (residentBytes() - residentBefore) / openStreams;
        auto before = gatewayCpuNanos();
        for (unsigned id = 2; id < 2 + eventsPerStream; ++id) {
            engine.sendEvent(id);
            for (const auto& client : clients)
                GatewayFixture::read(client, "data: e" + std::to_string(id) + "\n\n");
        }
        auto micros = (gatewayCpuNanos() - before) / nanosPerMicro / openStreams / eventsPerStream;
        figures.add("forward.micros_per_event", micros, "us", 15, BoundDirection::AtMost);
        figures.add("forward.bytes_per_open_stream", bytes, "B", 20'000, BoundDirection::AtMost);
    }

} // namespace

// Measures the processor time of the gateway's own threads on loopback, and the memory of open streams.
void benchForward(FigureReporter& figures)
{
    // In the benchmark, unlike in the gateway process, log lines would go to standard error.
    FLAGS_minloglevel = google::GLOG_ERROR;
    auto plainMicros = microsPerPlainRequest();
    figures.add("forward.micros_per_plain_request", plainMicros, "us", 100, BoundDirection::AtMost);
    figures.addUnbounded("forward.plain_request_over_echo", plainMicros / microsPerDirectRequest(), "ratio");
    measureStreams(figures);
}

} // namespace redwingseam::bench
