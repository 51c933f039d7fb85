#pragma once

#include "redwingseam/base/Ids.h"

#include <map>
#include <string>

namespace redwingseam::cli {

// Store versions that a folder's branch files are based on, saved next to them in `.applied.json`. An
// edit is written only if the store still has that version.
class AppliedVersions {
public:
    explicit AppliedVersions(const std::string& folder);

    // Returns the version that the branch at `path` is based on, or 0 if it was never pulled or applied.
    base::ObjectVersion versionOf(const std::string& path) const;
    void set(const std::string& path, base::ObjectVersion version) { m_versions[path] = version; }
    void erase(const std::string& path) { m_versions.erase(path); }
    const std::map<std::string, base::ObjectVersion>& all() const { return m_versions; }
    bool save() const;

private:
    std::string m_file;
    std::map<std::string, base::ObjectVersion> m_versions;
};

} // namespace redwingseam::cli
