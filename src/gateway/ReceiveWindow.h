#pragma once

#include "gateway/BufferReservation.h"

namespace redwingseam::gateway {

// Limits what the system receives for a client before the process reads it. By itself the system raises this to megabytes for
// each connection that is read fast, and none of it is counted; a process that is kept from the processor for a moment would
// hold that much for every client. The socket must outlive the window.
class ReceiveWindow {
public:
    // The limit of most connections, in bytes. Larger than most requests.
    static constexpr size_t usualBytes = 48 * 1024;
    // The limit for a client that is sending a large body. On a long way it lets the client send this much in a round trip.
    static constexpr size_t wideBytes = 256 * 1024;

    ReceiveWindow(BufferBudget&, int descriptor);

    // Widens the window of a client that has sent `bytes` of a body, or of input that is discarded, if they are many and
    // there is memory. A client may send all of a body before it reads the refusal.
    void widenFor(size_t bytes);
    // Returns to the usual limit.
    void restore();
    size_t reservedBytes() const { return m_reservation.bytes(); }

private:
    void limitTo(size_t bytes);

    const int m_descriptor;
    size_t m_limit = 0;
    BufferReservation m_reservation;
};

} // namespace redwingseam::gateway
