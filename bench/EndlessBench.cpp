#include "Benches.h"
#include "FigureReporter.h"

#include "fakes/EndlessUpstream.h"
#include "fakes/GatewayFixture.h"

#include <fstream>
#include <unistd.h>

namespace redwingseam::bench {

using fakes::EndlessUpstream;
using fakes::GatewayFixture;

namespace {

    constexpr int requestCount = 200;
    constexpr double bytesPerMb = 1024 * 1024;
    // Half of the memory of the smallest VMs.
    constexpr double maxGrowthMb = 44;

    double residentMb()
    {
        std::ifstream file("/proc/self/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMb;
    }

    // Returns by how much the memory of the process, the upstream's threads included, grows at most while `requestCount`
    // requests are answered without end.
    double peakGrowthMb(const std::string& request, const std::string& prefix, const std::string& pattern)
    {
        GatewayFixture gateway;
        EndlessUpstream upstream(prefix, pattern);
        gateway.addUpstream("d1", request.find("/stream/") == std::string::npos ? "desk" : "engines", upstream.address());
        auto before = residentMb();
        auto peak = before;
        std::vector<base::FileDescriptor> clients;
        for (int i = 0; i < requestCount; ++i) {
            clients.push_back(gateway.connectClient());
            GatewayFixture::write(clients.back(), request);
        }
        static constexpr int samples = 150;
        for (int i = 0; i < samples; ++i) {
            poll(nullptr, 0, 10);
            peak = std::max(peak, residentMb());
        }
        return peak - before;
    }

} // namespace

void benchEndless(FigureReporter& figures)
{
    auto head = "HTTP/1.1 200 OK\r\nRedwingseam-Attempt-Id: $ID\r\nRedwingseam-Upstream-Seal: s\r\n";
    auto booking = GatewayFixture::post("/book/x", "b");
    auto stream = GatewayFixture::post("/stream/x", "b");
    figures.add("endless.header.growth", peakGrowthMb(booking, "HTTP/1.1 200 OK\r\nX: ", "a"), "MB", maxGrowthMb, BoundDirection::AtMost);
    figures.add("endless.body.growth", peakGrowthMb(booking, std::string(head) + "\r\n", "abcd"), "MB", maxGrowthMb, BoundDirection::AtMost);
    figures.add("endless.chunk_size.growth", peakGrowthMb(booking, std::string(head) + "Transfer-Encoding: chunked\r\n\r\n", "0"), "MB", maxGrowthMb, BoundDirection::AtMost);
    figures.add("endless.event.growth", peakGrowthMb(stream, GatewayFixture::streamHead(), "4\r\nabcd\r\n"), "MB", maxGrowthMb, BoundDirection::AtMost);
}

} // namespace redwingseam::bench
