#pragma once

#include "redwingseam/base/Result.h"

#include <memory>

namespace redwingseam::daemon {

struct VmConfig;

// One VM of the system: the node, its servers and clients, and the thread that keeps its time.
class Daemon {
public:
    // Starts everything. Error SocketFailure names the address that could not be listened on.
    static base::Result<std::unique_ptr<Daemon>> start(const VmConfig&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Refuses new requests and waits until the running ones have been answered, or for the time that
    // the settings allow. Returns whether all were answered.
    bool drain();

private:
    struct Components;

    explicit Daemon(std::unique_ptr<Components>);

    std::unique_ptr<Components> m_components;
};

} // namespace redwingseam::daemon
