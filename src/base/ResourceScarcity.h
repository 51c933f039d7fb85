#pragma once

#include <cerrno>

namespace redwingseam::base {

// Returns whether a call failed with `error` because the process or the machine has no descriptors or memory left at present.
inline bool isScarcity(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

} // namespace redwingseam::base
