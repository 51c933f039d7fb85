#pragma once

namespace redwingseam::node {

// Lets the node check its timers. The front end sends one about every `tickInterval`.
struct Tick {
};

} // namespace redwingseam::node
