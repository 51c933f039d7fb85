#include "base/MemoryLimit.h"

#include <algorithm>
#include <fstream>
#include <unistd.h>

namespace redwingseam::base {

static constexpr size_t mebibyte = 1024 * 1024;

size_t detectedMemoryBytes()
{
    auto pages = sysconf(_SC_PHYS_PAGES);
    auto pageSize = sysconf(_SC_PAGESIZE);
    auto bytes = pages > 0 && pageSize > 0 ? static_cast<size_t>(pages) * static_cast<size_t>(pageSize) : 64 * mebibyte;
    // Holds "max" where there is no limit, which is not a number.
    std::ifstream file("/sys/fs/cgroup/memory.max");
    size_t limit = 0;
    if (file >> limit && limit)
        bytes = std::min(bytes, limit);
    return bytes;
}

size_t bufferBytesFor(size_t memoryBytes)
{
    static constexpr size_t minBytes = 8 * mebibyte;
    static constexpr size_t maxBytes = 256 * mebibyte;
    return std::clamp(memoryBytes / 4, minBytes, maxBytes);
}

} // namespace redwingseam::base
