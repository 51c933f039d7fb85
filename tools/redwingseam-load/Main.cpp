#include "StreamCounter.h"
#include "base/Condition.h"
#include "base/MonotonicClock.h"
#include "http/AsyncHttpClient.h"
#include "http/BlockingClient.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>

namespace {

using namespace redwingseam;

http::HttpRequest makeRequest(const cxxopts::ParseResult& parsed)
{
    http::HttpRequest request { "POST", parsed["to"].as<std::string>(), parsed["body"].as<std::string>() };
    request.headers.push_back("Authorization: Bearer " + parsed["key"].as<std::string>());
    return request;
}

void sleepFor(base::Duration duration)
{
    base::Mutex mutex;
    base::Condition condition;
    std::lock_guard guard(mutex);
    condition.waitFor(mutex, duration);
}

// Sends requests one after another and prints the median response time in microseconds.
int runSequence(const http::HttpRequest& request, size_t count)
{
    std::vector<int64_t> micros;
    for (size_t i = 0; i < count; ++i) {
        auto start = base::MonotonicClock {}.now();
        auto result = http::exchange(request);
        if (result.status != 200)
            return 1;
        micros.push_back((base::MonotonicClock {}.now() - start).count());
    }
    std::sort(micros.begin(), micros.end());
    std::cout << micros[micros.size() / 2] << "\n";
    return 0;
}

// Opens streams, waits for `openTime`, and prints how many of them are open and have received data. Holds
// them for 2 more seconds and fails if any of them is not open then.
int runStreams(const http::HttpRequest& request, size_t count, base::Duration openTime)
{
    standin::StreamCounter counter;
    http::AsyncHttpClient<standin::StreamCounter> client(counter, "load");
    for (size_t i = 0; i < count; ++i)
        client.submit(i + 1, request, {});
    sleepFor(openTime);
    std::cout << counter.openCount() << "\n"
              << std::flush;
    sleepFor(std::chrono::seconds(2));
    return counter.openCount() == count ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("redwingseam-load", "Load generator: measures the response time of sequential requests, or holds many streams open at once.");
    options.add_options()("to", "URL", cxxopts::value<std::string>())("body", "Request body", cxxopts::value<std::string>())("key", "Client key", cxxopts::value<std::string>()->default_value("none"))("sequence", "Number of requests to send one after another; prints the median response time in microseconds", cxxopts::value<size_t>())("streams", "Number of streams to open at once; prints how many are open", cxxopts::value<size_t>())("wait-ms", "Time in milliseconds that the streams have to open", cxxopts::value<int64_t>()->default_value("8000"));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        auto parsed = options.parse(argc, argv);
        auto request = makeRequest(parsed);
        if (parsed.count("sequence"))
            return runSequence(request, parsed["sequence"].as<size_t>());
        return runStreams(request, parsed["streams"].as<size_t>(), std::chrono::milliseconds(parsed["wait-ms"].as<int64_t>()));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
