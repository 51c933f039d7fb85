#include "store/ObjectKeys.h"

#include <cstdio>

namespace redwingseam::store {

static constexpr std::string_view editPrefix = "settings/raw";
static constexpr std::string_view acceptedPrefix = "settings/accepted";
static constexpr std::string_view statusPrefix = "settings/status";

std::string claimGroupPrefix(uint64_t group)
{
    return "claims/" + std::to_string(group);
}

base::ObjectKey claimBatchKey(uint64_t group, uint64_t batchNumber)
{
    std::array<char, 24> digits {};
    // The fixed width makes the key order of a list the order of the log.
    std::snprintf(digits.data(), digits.size(), "/%012lu", batchNumber);
    return { claimGroupPrefix(group) + digits.data() };
}

base::ObjectKey claimCheckpointKey(uint64_t group)
{
    return { claimGroupPrefix(group) + "/checkpoint" };
}

base::ObjectKey branchEditKey(std::string_view path)
{
    return { std::string(editPrefix) + std::string(path) };
}

base::ObjectKey acceptedBranchKey(std::string_view path)
{
    return { std::string(acceptedPrefix) + std::string(path) };
}

base::ObjectKey branchStatusKey(std::string_view path)
{
    return { std::string(statusPrefix) + std::string(path) };
}

base::ObjectKey upstreamKey(const base::UpstreamName& upstream)
{
    return { "upstreams/" + upstream.text };
}

base::ObjectKey leaseKey(std::string_view subject)
{
    return { "leases/" + std::string(subject) };
}

std::optional<std::string> branchEditPath(const base::ObjectKey& key)
{
    if (!key.text.starts_with(editPrefix))
        return std::nullopt;
    return key.text.substr(editPrefix.size());
}

} // namespace redwingseam::store
