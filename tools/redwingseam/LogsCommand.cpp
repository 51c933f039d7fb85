#include "Commands.h"
#include "report/RequestTimeline.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace redwingseam::cli {

static void readLines(report::RequestTimeline& timeline, std::istream& stream, const std::string& source)
{
    for (std::string line; std::getline(stream, line);)
        timeline.read(line, source);
}

// The file's name, without folder and extension, serves as the node's name.
static bool readFile(report::RequestTimeline& timeline, const std::string& path)
{
    if (path == "-") {
        readLines(timeline, std::cin, "-");
        return true;
    }
    std::ifstream file(path);
    if (!file)
        return false;
    readLines(timeline, file, std::filesystem::path(path).stem().string());
    return true;
}

ExitCode logs(const CommandLine& commandLine)
{
    static constexpr size_t minArguments = 2;
    if (commandLine.arguments.size() < minArguments || commandLine.arguments[0] != "explain") {
        std::cerr << "usage: redwingseam logs explain ID [FILE...]; without FILE, or for -, reads the log from standard input\n";
        return ExitCode::UsageError;
    }
    report::RequestTimeline timeline(commandLine.arguments[1]);
    std::vector<std::string> files(commandLine.arguments.begin() + minArguments, commandLine.arguments.end());
    if (files.empty())
        files.emplace_back("-");
    bool isComplete = true;
    for (const auto& file : files) {
        if (readFile(timeline, file))
            continue;
        std::cerr << "cannot read log file " << file << "\n";
        isComplete = false;
    }
    std::cout << (commandLine.wantsJson() ? timeline.json() : timeline.text());
    return isComplete && timeline.isFound() ? ExitCode::Success : ExitCode::ProblemsFound;
}

} // namespace redwingseam::cli
