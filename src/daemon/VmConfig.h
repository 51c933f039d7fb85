#pragma once

#include "http/SocketAddress.h"
#include "redwingseam/base/Result.h"
#include "redwingseam/node/NodeConfig.h"

#include <string>
#include <string_view>

namespace redwingseam::daemon {

// Settings of one VM, as read from its settings file.
struct VmConfig {
    node::NodeConfig node;
    http::SocketAddress callerAddress;
    http::SocketAddress adminAddress;
    // Listens for messages of other VMs. The addresses of other VMs are in `node.seeds`.
    http::SocketAddress peerAddress;
    // Base URL of the platform's store.
    std::string platformUrl;
    // Secret shared by all VMs of a deployment; it signs client keys and the event ids from which callers resume a stream.
    std::string secret;
    base::Duration drainTimeout {};
    // Of the machine; 0 for what the system states.
    size_t memoryBytes = 0;
};

// Parses the settings from JSON. Fails with SettingsUnreadable or SettingsInvalid; the detail holds the
// JSON pointer and the expected value.
base::Result<VmConfig> parseVmConfig(std::string_view json);

// Reads and parses a settings file. The detail of an error names the path.
base::Result<VmConfig> loadVmConfig(const std::string& path);

} // namespace redwingseam::daemon
