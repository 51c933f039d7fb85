#include "forward/ChooseService.h"

namespace redwingseam::forward {

base::ServiceName chooseService(const manifest::Route& route, uint64_t random)
{
    uint64_t total = 0;
    for (const auto& weighted : route.services)
        total += weighted.weight;
    auto position = total ? random % total : 0;
    for (const auto& weighted : route.services) {
        if (position < weighted.weight)
            return weighted.service;
        position -= weighted.weight;
    }
    return route.services.empty() ? base::ServiceName {} : route.services.front().service;
}

} // namespace redwingseam::forward
