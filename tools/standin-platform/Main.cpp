#include "StoreHandler.h"
#include "http/BlockingServer.h"
#include "standin/StopSignals.h"

#include <cxxopts.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-platform", "Stand-in for the platform's object store, for tests and demos.");
    options.add_options()("listen", "Address", cxxopts::value<std::string>())("writes-per-second", "Rate limit for writes; further writes get status 429", cxxopts::value<uint32_t>()->default_value("300"));
    try {
        auto parsed = options.parse(argc, argv);
        auto address = redwingseam::http::parseSocketAddress(parsed["listen"].as<std::string>());
        if (!address)
            return 2;
        redwingseam::standin::blockStopSignals();
        redwingseam::standin::StoreHandler handler(parsed["writes-per-second"].as<uint32_t>());
        redwingseam::http::BlockingServer<redwingseam::standin::StoreHandler> server(handler, address.value());
        if (!server.isListening())
            return 1;
        redwingseam::standin::waitForStopSignal();
        std::_Exit(0);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
