#include "Commands.h"
#include "report/RequestTimeline.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace redwingseam::cli {

static void read(report::RequestTimeline& timeline, std::istream& stream, const std::string& source)
{
    for (std::string line; std::getline(stream, line);)
        timeline.read(line, source);
}

// A file's name without its folder and ending stands for the node.
static bool readFile(report::RequestTimeline& timeline, const std::string& path)
{
    if (path == "-") {
        read(timeline, std::cin, "-");
        return true;
    }
    std::ifstream file(path);
    if (!file)
        return false;
    read(timeline, file, std::filesystem::path(path).stem().string());
    return true;
}

ExitCode logs(const CommandLine& line)
{
    static constexpr size_t fewestArguments = 2;
    if (line.arguments.size() < fewestArguments || line.arguments[0] != "explain") {
        std::cerr << "redwingseam logs explain ID [FILE...]; without files the log is read from standard input\n";
        return ExitCode::BadUsage;
    }
    report::RequestTimeline timeline(line.arguments[1]);
    std::vector<std::string> files(line.arguments.begin() + fewestArguments, line.arguments.end());
    if (files.empty())
        files.emplace_back("-");
    bool isComplete = true;
    for (const auto& file : files) {
        if (readFile(timeline, file))
            continue;
        std::cerr << file << " cannot be read\n";
        isComplete = false;
    }
    std::cout << (line.isJson() ? timeline.json() : timeline.text());
    return isComplete && timeline.isFound() ? ExitCode::Good : ExitCode::NotInOrder;
}

} // namespace redwingseam::cli
