#include "membership/RendezvousHash.h"

#include "base/Hash.h"

#include <algorithm>

namespace redwingseam::membership {

std::vector<base::VmName> selectByRendezvousHash(std::span<const base::VmName> vms, std::string_view subject, size_t count)
{
    auto seed = base::hashBytes(subject);
    std::vector<std::pair<uint64_t, base::VmName>> weighted;
    weighted.reserve(vms.size());
    for (const auto& vm : vms)
        weighted.emplace_back(base::hashBytes(vm.text, seed), vm);
    std::sort(weighted.begin(), weighted.end(), std::greater<> {});
    std::vector<base::VmName> chosen;
    for (size_t i = 0; i < std::min(count, weighted.size()); ++i)
        chosen.push_back(std::move(weighted[i].second));
    return chosen;
}

} // namespace redwingseam::membership
