#include "gateway/ReceiveWindow.h"

#include "gateway/SocketCalls.h"

namespace redwingseam::gateway {

ReceiveWindow::ReceiveWindow(BufferBudget& buffers, int descriptor)
    : m_descriptor(descriptor)
    , m_reservation(buffers, BufferUse::ReadAhead)
{
    limitTo(usualBytes);
}

void ReceiveWindow::widenFor(size_t bytes)
{
    if (bytes >= wideBytes && m_limit < wideBytes && m_reservation.growTo(wideBytes))
        limitTo(wideBytes);
}

void ReceiveWindow::restore()
{
    limitTo(usualBytes);
    m_reservation.reset();
}

void ReceiveWindow::limitTo(size_t bytes)
{
    if (bytes == m_limit)
        return;
    m_limit = bytes;
    limitReceiveBuffer(m_descriptor, bytes);
}

} // namespace redwingseam::gateway
