#include "GatewayProcess.h"

#include "base/ReadFile.h"
#include "log/JsonLogSink.h"
#include "platform/BootSettings.h"

#include <csignal>
#include <cstdlib>
#include <curl/curl.h>
#include <cxxopts.hpp>
#include <iostream>
#include <unistd.h>

namespace {

using namespace redwingseam;

// Blocks the signals in this thread and all threads started later, so that only sigwait() receives them and none is
// delivered inside a library.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

base::Result<gateway::GatewaySettings> loadSettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(auto text, base::readFile(path));
    return platform::parseBootSettings(text);
}

// Parses the settings file and logs the result. The running process keeps its settings, although the event is named
// settings_reloaded.
void checkSettingsFile(const std::string& path)
{
    auto settings = loadSettings(path);
    if (settings)
        LOG(INFO) << log::LogLine("settings_reloaded").with("path", path).text();
    else
        LOG(ERROR) << log::LogLine("settings_rejected").with("path", path).with("detail", settings.error().detail).text();
}

int serve(const std::string& path, const gateway::GatewaySettings& settings, const sigset_t& signals)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    // Never deleted: its threads may wait for the store for longer than the termination grace period lasts.
    auto& process = *new GatewayProcess(settings);
    auto error = process.start();
    if (error.code != base::ResultCode::Ok) {
        LOG(ERROR) << log::LogLine("start_failed").with("detail", error.detail).text();
        return 1;
    }
    LOG(INFO) << log::LogLine("started").with("vm", settings.vmName.text).with("clients", settings.clientAddress.text()).with("memory_bytes", settings.memoryBytes).with("buffer_limit_bytes", process.state().buffers.limitBytes(gateway::BufferUse::Response)).text();
    int received = 0;
    while (!sigwait(&signals, &received) && received == SIGHUP)
        checkSettingsFile(path);
    LOG(INFO) << log::LogLine("draining").with("requests", process.state().activeSessions).text();
    bool isDrained = process.drain();
    LOG(INFO) << log::LogLine("stopped").with("answered_all", isDrained ? "yes" : "no").with("cut", process.state().activeSessions).text();
    return 0;
}

int runWithLogging(const std::string& path)
{
    auto signals = blockSignals();
    log::JsonLogSink logs("redwingseam-gateway");
    auto settings = loadSettings(path);
    if (!settings) {
        LOG(ERROR) << log::LogLine("settings_rejected").with("path", path).with("detail", settings.error().detail).text();
        return 2;
    }
    return serve(path, settings.value(), signals);
}

int run(const std::string& path)
{
    auto status = runWithLogging(path);
    // The log has been flushed, and nothing else needs cleanup.
    _exit(status);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("redwingseam-gateway", "Serves clients on one VM of the platform. SIGTERM drains it. SIGHUP checks the settings file and logs the result.");
    options.add_options()("settings", "Settings file (default: the path in REDWINGSEAM_BOOT)", cxxopts::value<std::string>())("help", "Shows this help");
    try {
        auto parsed = options.parse(argc, argv);
        const char* pathFromEnvironment = std::getenv(platform::settingsPathVariable);
        if (parsed.count("help") || (!parsed.count("settings") && !pathFromEnvironment)) {
            std::cout << options.help() << "\n";
            return parsed.count("help") ? 0 : 2;
        }
        return run(parsed.count("settings") ? parsed["settings"].as<std::string>() : std::string(pathFromEnvironment));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
