#pragma once

namespace redwingseam::peer {

// Nothing has to be kept for a message that was sent: it may be lost, and no answer is waited for.
struct NoTag {
};

} // namespace redwingseam::peer
