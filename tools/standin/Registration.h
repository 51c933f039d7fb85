#pragma once

#include "redwingseam/route/UpstreamRecord.h"

#include <cxxopts.hpp>
#include <string>

namespace redwingseam::standin {

// Adds the options that say how an upstream is listed in the platform's store.
void addRegistrationOptions(cxxopts::Options&);

// Lists the upstream in the store, as the real platform does for its upstreams. Does nothing without
// --platform. Returns false if the store refused or did not answer.
bool registerUpstream(const cxxopts::ParseResult&, route::UpstreamKind, uint32_t slots);

} // namespace redwingseam::standin
