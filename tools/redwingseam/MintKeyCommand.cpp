#include "Commands.h"
#include "daemon/VmConfig.h"
#include "http/ClientKeyCodec.h"

#include <iostream>

namespace redwingseam::cli {

ExitCode mintKey(const CommandLine& line)
{
    if (line.arguments.empty()) {
        std::cerr << "mint-key: expected a client's name\n";
        return ExitCode::BadUsage;
    }
    auto config = daemon::loadVmConfig(line.text("settings"));
    if (!config) {
        std::cerr << config.error().detail << "\n";
        return ExitCode::NotInOrder;
    }
    std::cout << http::ClientKeyCodec(config.value().secret).mint({ line.arguments.front() }) << "\n";
    return ExitCode::Good;
}

} // namespace redwingseam::cli
