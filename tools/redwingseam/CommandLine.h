#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace redwingseam::cli {

// What was given to a verb.
struct CommandLine {
    cxxopts::ParseResult options;
    std::vector<std::string> arguments;

    bool wantsJson() const { return options.count("json") > 0; }
    std::string option(const std::string& name) const { return options.count(name) ? options[name].as<std::string>() : std::string(); }
    std::vector<std::string> optionList(const std::string& name) const { return options.count(name) ? options[name].as<std::vector<std::string>>() : std::vector<std::string>(); }
};

} // namespace redwingseam::cli
