#pragma once

#include <fstream>
#include <string>
#include <vector>

// Reads the names of the tests in KNOWN-RED.txt. An entry begins with `Group.Name` and a vertical bar.
inline std::vector<std::string> knownFailures(const std::string& path)
{
    std::vector<std::string> names;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        auto end = line.find_first_of(" |");
        auto dot = line.find('.');
        if (!line.starts_with('#') && dot < end && line.find('|') != std::string::npos)
            names.push_back(line.substr(0, end));
    }
    return names;
}
