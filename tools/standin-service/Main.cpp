#include "ServiceHandler.h"
#include "http/BlockingServer.h"
#include "standin/Registration.h"
#include "standin/StopSignals.h"

#include <cxxopts.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-service", "Stand-in for a plain service, for tests and demos.");
    options.add_options()("listen", "Address", cxxopts::value<std::string>());
    redwingseam::standin::addRegistrationOptions(options);
    try {
        auto parsed = options.parse(argc, argv);
        auto address = redwingseam::http::parseSocketAddress(parsed["listen"].as<std::string>());
        if (!address)
            return 2;
        redwingseam::standin::blockStopSignals();
        redwingseam::standin::ServiceHandler handler;
        redwingseam::http::BlockingServer<redwingseam::standin::ServiceHandler> server(handler, address.value());
        if (!server.isListening())
            return 1;
        static constexpr uint32_t slots = 16;
        if (!redwingseam::standin::registerUpstream(parsed, redwingseam::route::UpstreamKind::Service, slots))
            return 1;
        redwingseam::standin::waitForStopSignal();
        return 0;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
