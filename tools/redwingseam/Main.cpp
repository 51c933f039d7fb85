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
    add("json", "Prints the result as JSON");
    add("help", "Shows this help");
    add("arguments", "", cxxopts::value<Strings>());
    options.parse_positional({ "arguments" });
    bool readsTree = subcommand == Subcommand::Check || subcommand == Subcommand::Explain || subcommand == Subcommand::Diff || subcommand == Subcommand::Pull || subcommand == Subcommand::Apply;
    bool usesStore = subcommand == Subcommand::Diff || subcommand == Subcommand::Pull || subcommand == Subcommand::Apply || subcommand == Subcommand::Status;
    bool queriesVms = subcommand == Subcommand::Status || subcommand == Subcommand::Report;
    if (readsTree)
        add("tree", "Folder with the settings tree", cxxopts::value<std::string>()->default_value("."));
    if (usesStore)
        add("platform", "Base URL of the platform's object store", cxxopts::value<std::string>());
    if (queriesVms)
        add("vm", "Admin address (ip:port) of a VM; may be repeated", cxxopts::value<Strings>());
    if (subcommand == Subcommand::Report)
        add("html", "Also writes the report as an HTML page to this file", cxxopts::value<std::string>());
    if (subcommand == Subcommand::CheckManifest) {
        add("against", "Manifest in force, to show what differs", cxxopts::value<std::string>());
        add("strict", "Any finding but a difference is a problem");
    }
    if (subcommand == Subcommand::MintKey)
        add("settings", "Settings file of a VM, from which the secret is read", cxxopts::value<std::string>());
    return options;
}

ExitCode dispatch(Subcommand subcommand, const CommandLine& commandLine)
{
    switch (subcommand) {
    case Subcommand::Check:
        return check(commandLine);
    case Subcommand::CheckManifest:
        return checkManifest(commandLine);
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
    std::cout << "usage: redwingseam COMMAND [OPTION...]; run redwingseam COMMAND --help for its options\n\n"
                 "  check     validates a settings tree\n"
                 "  check-manifest FILE [--against FILE]: checks a manifest of the platform before it is sent\n"
                 "  explain   shows the effective settings of a branch and the branch that sets each of them\n"
                 "  diff      shows the differences between the local files and the platform's store\n"
                 "  pull      downloads the store's branches into the local files\n"
                 "  apply     applies the local changes to the platform's store\n"
                 "  status    shows the state of each VM and rejected edits\n"
                 "  report    shows service levels and the burn rates of their error budgets\n"
                 "  mint-key  creates a client key\n"
                 "  reference prints the settings reference\n"
                 "  logs      explain ID [FILE...]: reconstructs the course of a request from the nodes' logs\n";
    return static_cast<int>(ExitCode::UsageError);
}

int run(int argc, char** argv)
{
    auto subcommand = argc > 1 ? redwingseam::base::enumFromName<Subcommand>(argv[1]) : std::nullopt;
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
