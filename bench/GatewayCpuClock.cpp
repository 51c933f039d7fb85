#include "GatewayCpuClock.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace redwingseam::bench {

double gatewayCpuNanos()
{
    double sum = 0;
    for (const auto& thread : std::filesystem::directory_iterator("/proc/self/task")) {
        std::string name;
        std::ifstream(thread.path() / "comm") >> name;
        if (!name.starts_with("lane"))
            continue;
        double nanos = 0;
        std::ifstream(thread.path() / "schedstat") >> nanos;
        sum += nanos;
    }
    return sum;
}

} // namespace redwingseam::bench
