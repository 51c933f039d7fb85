#include "Commands.h"
#include "daemon/VmConfig.h"
#include "http/ClientKeyCodec.h"

#include <iostream>

namespace redwingseam::cli {

ExitCode mintKey(const CommandLine& commandLine)
{
    if (commandLine.arguments.empty()) {
        std::cerr << "mint-key: missing argument: the name of the client\n";
        return ExitCode::UsageError;
    }
    auto config = daemon::loadVmConfig(commandLine.option("settings"));
    if (!config) {
        std::cerr << config.error().detail << "\n";
        return ExitCode::ProblemsFound;
    }
    std::cout << http::ClientKeyCodec(config.value().secret).mint({ commandLine.arguments.front() }) << "\n";
    return ExitCode::Success;
}

} // namespace redwingseam::cli
