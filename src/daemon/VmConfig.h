#pragma once

#include "http/SocketAddress.h"
#include "redwingseam/base/Result.h"
#include "redwingseam/node/NodeConfig.h"

#include <string>
#include <string_view>

namespace redwingseam::daemon {

// Settings file of one VM.
struct VmConfig {
    node::NodeConfig node;
    http::SocketAddress callers;
    http::SocketAddress admin;
    http::SocketAddress peers;
    // Base URL of the platform's store.
    std::string platformUrl;
    // Shared by all VMs of a deployment; signs client keys and event ids.
    std::string secret;
    base::Duration drainTimeout {};
};

// Fills the settings from JSON. Error SettingsInvalid or SettingsUnreadable; the detail holds the JSON
// pointer and what was expected there. Nothing is filled on an error.
base::Result<VmConfig> parseVmConfig(std::string_view json);

// Reads and parses a file; errors name it.
base::Result<VmConfig> loadVmConfig(const std::string& path);

} // namespace redwingseam::daemon
