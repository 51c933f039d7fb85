#pragma once

#include "fleet/PlacementQuery.h"
#include "fleet/PoolEntry.h"

#include <array>

namespace redwingseam::fleet {

// Prefers engines for a prompt so that a repeated request finds its prompt in the prefix cache. All nodes of a data
// centre rank its engines for the same prompt alike (rendezvous hashing), so a client that comes back through another
// node after the loss of the first one reaches the engine that still holds the prompt, without any shared state.
//
// Answers the load pattern of many clients that return together after nodes were killed, whose prompts would otherwise
// all be read again.
class PromptAffinity {
public:
    // Ranks the listed engines of the local data centre. Prefers none for a query without a prompt key.
    PromptAffinity(const PlacementQuery&, const std::vector<PoolEntry>&, const base::DataCentreName& localDataCentre);

    bool prefers(const PoolEntry& entry) const { return &entry == m_preferred[0] || &entry == m_preferred[1]; }
    // Returns the amount by which the cost of the engine is lowered, in the unit of PlacementCost; 0 for an engine that
    // is not preferred.
    double discount(const PoolEntry&) const;

private:
    // Less than the prefill of one queued prompt costs, so that prompts do not queue behind each other on one engine.
    static constexpr double newRequestDiscount = 2.5;
    // As much as the prefill of two usual prompts costs: the one that is saved, and one that another client which came
    // back at the same time has booked there but probably does not need either.
    static constexpr double resumptionDiscount = 8;
    // The second engine is where the request went if the first one was busy.
    static constexpr double secondChoiceShare = 0.25;

    double m_discount = 0;
    std::array<const PoolEntry*, 2> m_preferred {};
};

} // namespace redwingseam::fleet
