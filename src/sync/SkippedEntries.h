#pragma once

#include "redwingseam/base/Ids.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace redwingseam::sync {

// The entries of the store's list that do not describe an upstream, and whether a change of them is still to be logged.
class SkippedEntries {
public:
    void replace(const std::vector<base::UpstreamName>& names);
    void add(const base::UpstreamName&);
    void remove(const base::UpstreamName&);

    // Returns whether the entries have changed since the last call.
    bool takeChange();
    size_t count() const { return m_names.size(); }
    // Returns the first names, shortened, in a text of limited length.
    std::string summary() const;

private:
    std::set<base::UpstreamName> m_names;
    bool m_isChanged = false;
};

} // namespace redwingseam::sync
