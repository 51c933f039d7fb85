#pragma once

#include "redwingseam/route/UpstreamRecord.h"

#include <cxxopts.hpp>
#include <string>

namespace redwingseam::standin {

// Adds the command-line options for registering an upstream in the platform's store.
void addRegistrationOptions(cxxopts::Options&);

// Registers the upstream in the store, as the real platform does for its upstreams. Does nothing without
// --platform. Returns false if the store rejects the record or does not answer within 5 seconds.
bool registerUpstream(const cxxopts::ParseResult&, route::UpstreamKind, uint32_t slots);

} // namespace redwingseam::standin
