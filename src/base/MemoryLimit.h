#pragma once

#include <cstddef>

namespace redwingseam::base {

// Returns the memory that this process may use if its settings do not say: that of its control group, or of the machine.
size_t detectedMemoryBytes();

// Returns how much of it may be buffered for clients and upstreams. The rest is left to connections, lists and the manifest.
size_t bufferBytesFor(size_t memoryBytes);

} // namespace redwingseam::base
