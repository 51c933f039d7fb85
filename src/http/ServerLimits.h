#pragma once

namespace redwingseam::http {

// What the clients of a BlockingServer may take. Each connection has a thread.
struct ServerLimits {
    unsigned connections = 8192;
    // Connections from one address; 0 for no limit of its own.
    unsigned connectionsPerAddress = 0;
    unsigned idleSeconds = 120;
};

// For a port that a balancer, an operator and a collector of metrics use, each now and then.
inline constexpr ServerLimits adminLimits { 128, 64, 10 };

} // namespace redwingseam::http
