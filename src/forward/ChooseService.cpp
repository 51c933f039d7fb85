#include "forward/ChooseService.h"

namespace redwingseam::forward {

base::ServiceName chooseService(const manifest::Route& route, uint64_t random)
{
    uint64_t total = 0;
    for (const auto& part : route.services)
        total += part.weight;
    auto position = total ? random % total : 0;
    for (const auto& part : route.services) {
        if (position < part.weight)
            return part.service;
        position -= part.weight;
    }
    return route.services.empty() ? base::ServiceName {} : route.services.front().service;
}

} // namespace redwingseam::forward
