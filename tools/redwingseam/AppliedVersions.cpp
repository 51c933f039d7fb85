#include "AppliedVersions.h"

#include "base/ReadFile.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace redwingseam::cli {

AppliedVersions::AppliedVersions(const std::string& folder)
    : m_file(folder + "/.applied.json")
{
    auto text = base::readFile(m_file);
    if (!text)
        return;
    auto document = nlohmann::json::parse(text.value(), nullptr, false);
    if (!document.is_object())
        return;
    for (const auto& [path, version] : document.items()) {
        if (version.is_number_unsigned())
            m_versions[path] = { version.get<uint64_t>() };
    }
}

base::ObjectVersion AppliedVersions::versionOf(const std::string& path) const
{
    auto found = m_versions.find(path);
    return found == m_versions.end() ? base::ObjectVersion {} : found->second;
}

bool AppliedVersions::save() const
{
    auto document = nlohmann::json::object();
    for (const auto& [path, version] : m_versions)
        document[path] = version.value;
    std::ofstream file(m_file);
    file << document.dump(2) << "\n";
    return file.good();
}

} // namespace redwingseam::cli
