#include "daemon/Daemon.h"
#include "daemon/VmConfig.h"
#include "log/JsonLogSink.h"
#include "log/LogLine.h"

#include <csignal>
#include <curl/curl.h>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace redwingseam;

int reportError(const base::Error& error)
{
    std::cerr << base::nameOf(error.code) << " (" << static_cast<unsigned>(error.code) << "): " << error.detail << "\n";
    return 2;
}

// Blocks the signals that the main thread waits for, so that none is delivered inside a library.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

uint64_t wallClockMillis()
{
    using namespace std::chrono;
    return static_cast<uint64_t>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

int run(const std::string& path)
{
    auto config = daemon::loadVmConfig(path);
    if (!config)
        return reportError(config.error());
    config.value().node.incarnation = wallClockMillis();
    auto signals = blockSignals();
    log::JsonLogSink logSink("redwingseamd");
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto daemon = daemon::Daemon::start(config.value());
    if (!daemon)
        return reportError(daemon.error());
    int received = 0;
    sigwait(&signals, &received);
    bool isDrained = daemon.value()->drain();
    LOG(INFO) << log::LogLine("stopped").with("answered_all", isDrained ? "yes" : "no").text();
    return isDrained ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("redwingseamd", "Runs one VM of redwingseam. SIGTERM drains it: running requests are answered, new ones refused.");
    options.add_options()("settings", "JSON file with the VM's settings", cxxopts::value<std::string>())("help", "Shows this help");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") || !parsed.count("settings")) {
            std::cout << options.help() << "\n";
            return parsed.count("help") ? 0 : 2;
        }
        return run(parsed["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
