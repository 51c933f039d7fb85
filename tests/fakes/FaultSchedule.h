#pragma once

#include "fakes/Deployment.h"
#include "fakes/Fault.h"

namespace redwingseam::fakes {

// Lets a fault begin, or end if it is under way. `word` chooses fault and target.
template<typename Policies>
void toggleFault(Deployment<Policies>& deployment, const WorldOptions& options, uint32_t word)
{
    auto& world = deployment.world;
    auto fault = static_cast<Fault>(word % faultCount);
    auto target = word / faultCount;
    auto engine = deployment.engines[target % deployment.engines.size()];
    auto node = target % options.nodes;
    bool isBeginning = (target / 8) % 2 == 0;
    switch (fault) {
    case Fault::KillEngine:
        if (world.upstreams()[engine].isAlive)
            world.killUpstream(engine);
        else
            world.reviveUpstream(engine);
        break;
    case Fault::FreezeEngine:
        if (world.upstreams()[engine].isFrozen)
            world.thawUpstream(engine);
        else
            world.freezeUpstream(engine);
        break;
    case Fault::CrashNode:
        if (world.isRunning(node))
            world.crashNode(node);
        else
            world.startNode(node);
        break;
    case Fault::PauseNode:
        if (world.isRunning(node))
            world.pauseNode(node, std::chrono::seconds(1 + target % 9));
        break;
    case Fault::StoreDown:
        world.setStoreDown(isBeginning);
        break;
    case Fault::LoseAnswers:
        world.setLosesAnswers(isBeginning ? 400 : 0);
        break;
    case Fault::CutDataCentre:
        world.setCut(target % options.dataCentres, isBeginning);
        break;
    }
}

// Ends all faults, so that everything accepted can be answered.
template<typename Policies>
void healAll(Deployment<Policies>& deployment, const WorldOptions& options)
{
    auto& world = deployment.world;
    world.setStoreDown(false);
    world.setLosesAnswers(0);
    for (size_t dataCentre = 0; dataCentre < options.dataCentres; ++dataCentre)
        world.setCut(dataCentre, false);
    for (auto engine : deployment.engines) {
        if (world.upstreams()[engine].isFrozen)
            world.thawUpstream(engine);
        if (!world.upstreams()[engine].isAlive)
            world.reviveUpstream(engine);
    }
    for (size_t node = 0; node < options.nodes; ++node) {
        if (!world.isRunning(node))
            world.startNode(node);
    }
}

} // namespace redwingseam::fakes
