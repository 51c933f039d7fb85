#include "CheckingCaller.h"

#include <csignal>
#include <curl/curl.h>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace redwingseam;

standin::CallOptions makeOptions(const cxxopts::ParseResult& parsed)
{
    standin::CallOptions options;
    options.targets = parsed["to"].as<std::vector<std::string>>();
    options.key = parsed["key"].as<std::string>();
    options.model = parsed["model"].as<std::string>();
    options.prompt = parsed["prompt"].as<std::string>();
    options.work = parsed["work"].as<std::string>();
    options.maxTokens = parsed["max-tokens"].as<uint32_t>();
    options.seed = parsed["seed"].as<uint64_t>();
    options.rank = base::enumFromName<base::Rank>(parsed["rank"].as<std::string>()).value_or(base::Rank::Standard);
    options.sendsReceivedTokens = !parsed.count("no-carry");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("redwingseam-call", "Sends one completion request and compares each token of the response with the stand-in engine's model.");
    options.add_options()("to", "Base URL of a VM; may be repeated for failover", cxxopts::value<std::vector<std::string>>())("key", "Client key", cxxopts::value<std::string>())("model", "Model", cxxopts::value<std::string>()->default_value("draft"))("prompt", "Prompt", cxxopts::value<std::string>()->default_value("hello"))("work", "Kind of work that the request belongs to", cxxopts::value<std::string>()->default_value(""))("max-tokens", "Length", cxxopts::value<uint32_t>()->default_value("100"))("seed", "Seed", cxxopts::value<uint64_t>()->default_value("1"))("rank", "Rank", cxxopts::value<std::string>()->default_value("urgent"))("no-carry", "Reconnects without sending the tokens received so far");
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        auto parsed = options.parse(argc, argv);
        auto result = redwingseam::standin::CheckingCaller(makeOptions(parsed)).run();
        std::cout << result.json() << "\n";
        return result.isComplete && !result.wrongTokens ? 0 : 1;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
