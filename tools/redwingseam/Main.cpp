#include "Commands.h"
#include "Verb.h"

#include <curl/curl.h>
#include <iostream>

namespace {

using namespace redwingseam::cli;

cxxopts::Options makeOptions(Verb verb)
{
    using Texts = std::vector<std::string>;
    cxxopts::Options options("redwingseam " + std::string(redwingseam::base::nameOf(verb)));
    auto add = options.add_options();
    add("json", "Prints JSON");
    add("help", "Shows this help");
    add("arguments", "", cxxopts::value<Texts>());
    options.parse_positional({ "arguments" });
    bool readsTree = verb == Verb::Check || verb == Verb::Explain || verb == Verb::Diff || verb == Verb::Pull || verb == Verb::Apply;
    bool callsStore = verb == Verb::Diff || verb == Verb::Pull || verb == Verb::Apply || verb == Verb::Status;
    bool asksVms = verb == Verb::Status || verb == Verb::Report;
    if (readsTree)
        add("tree", "Folder with the settings tree", cxxopts::value<std::string>()->default_value("."));
    if (callsStore)
        add("platform", "Base URL of the platform's store", cxxopts::value<std::string>());
    if (asksVms)
        add("vm", "Admin address ip:port of a VM; repeat for each", cxxopts::value<Texts>());
    if (verb == Verb::Report)
        add("html", "Also writes a page to this file", cxxopts::value<std::string>());
    if (verb == Verb::MintKey)
        add("settings", "A VM's settings file, for the secret", cxxopts::value<std::string>());
    return options;
}

ExitCode dispatch(Verb verb, const CommandLine& line)
{
    switch (verb) {
    case Verb::Check:
        return check(line);
    case Verb::Explain:
        return explain(line);
    case Verb::Diff:
        return diff(line);
    case Verb::Pull:
        return pull(line);
    case Verb::Apply:
        return apply(line);
    case Verb::Status:
        return status(line);
    case Verb::Report:
        return report(line);
    case Verb::MintKey:
        return mintKey(line);
    case Verb::Reference:
        return reference(line);
    case Verb::Logs:
        return logs(line);
    }
    return ExitCode::BadUsage;
}

int usage()
{
    std::cout << "redwingseam VERB [options]; redwingseam VERB --help says more\n\n"
                 "  check     looks whether a settings tree is in order\n"
                 "  explain   shows a branch's effective values and where each comes from\n"
                 "  diff      shows how the files differ from the platform's store\n"
                 "  pull      brings the store's branches into the files\n"
                 "  apply     puts the files' branches into the store\n"
                 "  status    shows what each VM runs\n"
                 "  report    shows service levels and how fast their budgets burn\n"
                 "  mint-key  makes a client's key\n"
                 "  reference prints the settings reference\n"
                 "  logs      explain ID FILE...: tells what became of a request from the nodes' logs\n";
    return static_cast<int>(ExitCode::BadUsage);
}

int run(int argc, char** argv)
{
    auto verb = argc > 1 ? redwingseam::base::enumFromName<Verb>(argv[1]) : std::nullopt;
    if (!verb)
        return usage();
    auto options = makeOptions(*verb);
    CommandLine line { options.parse(argc - 1, argv + 1), {} };
    line.arguments = line.list("arguments");
    if (line.options.count("help")) {
        std::cout << options.help() << "\n";
        return 0;
    }
    return static_cast<int>(dispatch(*verb, line));
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ExitCode::BadUsage);
    }
}
