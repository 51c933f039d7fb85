#pragma once

#include "gateway/BufferBudget.h"

namespace redwingseam::gateway {

// The part of a BufferBudget that one buffer uses; released by the destructor. The budget must outlive it. Not
// synchronised.
class BufferReservation {
public:
    BufferReservation(BufferBudget& budget, BufferUse use)
        : m_budget(budget)
        , m_use(use)
    {
    }
    ~BufferReservation() { reset(); }
    BufferReservation(const BufferReservation&) = delete;
    BufferReservation& operator=(const BufferReservation&) = delete;

    // Raises the reservation to `bytes`; a smaller value changes nothing. Returns false if the budget is exhausted.
    bool growTo(size_t bytes)
    {
        if (bytes <= m_bytes)
            return true;
        if (!m_budget.tryReserve(bytes - m_bytes, m_use))
            return false;
        m_bytes = bytes;
        return true;
    }
    // Raises the reservation to `bytes`, also if the budget is exhausted.
    void growAlwaysTo(size_t bytes)
    {
        if (bytes <= m_bytes)
            return;
        m_budget.reserveAlways(bytes - m_bytes, m_use);
        m_bytes = bytes;
    }
    // Lowers the reservation to `bytes`; a larger value changes nothing.
    void shrinkTo(size_t bytes)
    {
        if (bytes >= m_bytes)
            return;
        m_budget.release(m_bytes - bytes, m_use);
        m_bytes = bytes;
    }
    void reset() { shrinkTo(0); }
    size_t bytes() const { return m_bytes; }

private:
    BufferBudget& m_budget;
    const BufferUse m_use;
    size_t m_bytes = 0;
};

} // namespace redwingseam::gateway
