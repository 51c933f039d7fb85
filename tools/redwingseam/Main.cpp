#include "Commands.h"
#include "Subcommand.h"

#include <curl/curl.h>
#include <iostream>

namespace {

using namespace redwingseam::cli;

cxxopts::Options makeOptions(Subcommand subcommand)
{
    using Strings = std::vector<std::string>;
    cxxopts::Options options("redwingseam " + std::string(redwingseam::base::nameOf(subcommand)));
    auto add = options.add_options();
    add("json", "Prints JSON");
    add("help", "Shows this help");
    add("arguments", "", cxxopts::value<Strings>());
    options.parse_positional({ "arguments" });
    bool readsTree = subcommand == Subcommand::Check || subcommand == Subcommand::Explain || subcommand == Subcommand::Diff || subcommand == Subcommand::Pull || subcommand == Subcommand::Apply;
    bool usesStore = subcommand == Subcommand::Diff || subcommand == Subcommand::Pull || subcommand == Subcommand::Apply || subcommand == Subcommand::Status;
    bool queriesVms = subcommand == Subcommand::Status || subcommand == Subcommand::Report;
    if (readsTree)
        add("tree", "Folder with the settings tree", cxxopts::value<std::string>()->default_value("."));
    if (usesStore)
        add("platform", "Base URL of the platform's store", cxxopts::value<std::string>());
    if (queriesVms)
        add("vm", "Admin address ip:port of a VM; repeat for each", cxxopts::value<Strings>());
    if (subcommand == Subcommand::Report)
        add("html", "Also writes a page to this file", cxxopts::value<std::string>());
    if (subcommand == Subcommand::MintKey)
        add("settings", "A VM's settings file, for the secret", cxxopts::value<std::string>());
    return options;
}

ExitCode dispatch(Subcommand subcommand, const CommandLine& commandLine)
{
    switch (subcommand) {
    case Subcommand::Check:
        return check(commandLine);
    case Subcommand::Explain:
        return explain(commandLine);
    case Subcommand::Diff:
        return diff(commandLine);
    case Subcommand::Pull:
        return pull(commandLine);
    case Subcommand::Apply:
        return apply(commandLine);
    case Subcommand::Status:
        return status(commandLine);
    case Subcommand::Report:
        return report(commandLine);
    case Subcommand::MintKey:
        return mintKey(commandLine);
    case Subcommand::Reference:
        return reference(commandLine);
    case Subcommand::Logs:
        return logs(commandLine);
    }
    return ExitCode::UsageError;
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
    return static_cast<int>(ExitCode::UsageError);
}

int run(int argc, char** argv)
{
    auto subcommand = argc > 1 ? redwingseam::base::enumOf<Subcommand>(argv[1]) : std::nullopt;
    if (!subcommand)
        return usage();
    auto options = makeOptions(*subcommand);
    CommandLine commandLine { options.parse(argc - 1, argv + 1), {} };
    commandLine.arguments = commandLine.optionList("arguments");
    if (commandLine.options.count("help")) {
        std::cout << options.help() << "\n";
        return 0;
    }
    return static_cast<int>(dispatch(*subcommand, commandLine));
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ExitCode::UsageError);
    }
}
