#pragma once

#include "redwingseam/base/Result.h"

#include <memory>

namespace redwingseam::daemon {

struct VmConfig;

// One running VM: the node, its servers and clients, and the ticker thread.
class Daemon {
public:
    // Starts all components. Fails with SocketFailure if an address cannot be listened on; the detail names it.
    static base::Result<std::unique_ptr<Daemon>> start(const VmConfig&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Refuses new requests and waits until all requests in progress have been answered or the drain
    // timeout of the settings has passed. Returns whether all were answered.
    bool drain();

private:
    struct Components;

    explicit Daemon(std::unique_ptr<Components>);

    std::unique_ptr<Components> m_components;
};

} // namespace redwingseam::daemon
