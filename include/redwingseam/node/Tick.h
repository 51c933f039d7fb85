#pragma once

namespace redwingseam::node {

// Time has passed. The front end sends one every `tickInterval` or so; timers are checked here.
struct Tick {
};

} // namespace redwingseam::node
