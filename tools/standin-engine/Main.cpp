#include "EngineHandler.h"
#include "http/BlockingServer.h"
#include "standin/Registration.h"
#include "standin/StopSignals.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace redwingseam;

standin::EngineOptions makeOptions(const cxxopts::ParseResult& parsed)
{
    standin::EngineOptions options;
    options.slots = parsed["slots"].as<uint32_t>();
    options.tokenInterval = std::chrono::microseconds(parsed["token-us"].as<int64_t>());
    options.prefillPerToken = std::chrono::microseconds(parsed["prefill-us"].as<int64_t>());
    options.crashAtToken = parsed["die-at-token"].as<uint32_t>();
    options.crashOnPrompt = parsed["die-on-prompt"].as<std::string>();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-engine", "Stand-in for a model engine, for tests and demos.");
    options.add_options()("listen", "Address", cxxopts::value<std::string>())("slots", "Streams that run concurrently", cxxopts::value<uint32_t>()->default_value("8"))("token-us", "Time per generated token in microseconds", cxxopts::value<int64_t>()->default_value("20000"))("prefill-us", "Prefill time per prompt token in microseconds", cxxopts::value<int64_t>()->default_value("50"))("die-at-token", "Exits when a stream reaches this token; 0 disables this", cxxopts::value<uint32_t>()->default_value("0"))("die-on-prompt", "Exits on a prompt that contains this text; empty disables this", cxxopts::value<std::string>()->default_value(""));
    redwingseam::standin::addRegistrationOptions(options);
    try {
        auto parsed = options.parse(argc, argv);
        auto address = redwingseam::http::parseSocketAddress(parsed["listen"].as<std::string>());
        if (!address)
            return 2;
        redwingseam::standin::blockStopSignals();
        redwingseam::standin::Engine engine(makeOptions(parsed));
        redwingseam::standin::EngineHandler handler(engine);
        redwingseam::http::BlockingServer<redwingseam::standin::EngineHandler> server(handler, address.value());
        if (!server.isListening())
            return 1;
        if (!redwingseam::standin::registerUpstream(parsed, redwingseam::route::UpstreamKind::Engine, engine.options().slots))
            return 1;
        redwingseam::standin::waitForStopSignal();
        // The process exits without waiting for its streams, which may take long. A real engine does the same.
        std::_Exit(0);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
