#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace redwingseam::cli {

// Parsed options and positional arguments of a subcommand. An option that was not given reads as empty.
struct CommandLine {
    cxxopts::ParseResult options;
    std::vector<std::string> arguments;

    bool wantsJson() const { return options.count("json") > 0; }
    std::string option(const std::string& name) const { return options.count(name) ? options[name].as<std::string>() : std::string(); }
    std::vector<std::string> optionList(const std::string& name) const { return options.count(name) ? options[name].as<std::vector<std::string>>() : std::vector<std::string>(); }
};

} // namespace redwingseam::cli
