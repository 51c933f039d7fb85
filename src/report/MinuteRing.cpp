#include "report/MinuteRing.h"

namespace redwingseam::report {

MinuteRing::Slot& MinuteRing::slot(int64_t minute)
{
    auto& slot = m_slots[static_cast<size_t>(minute % retainedMinutes)];
    if (slot.minute != minute)
        slot = { minute, 0, {} };
    return slot;
}

void MinuteRing::addMet(int64_t minute)
{
    ++slot(minute).met;
}

void MinuteRing::addMissed(int64_t minute, MissCause cause)
{
    ++slot(minute).missed[indexOf(cause)];
}

BurnRateCell MinuteRing::sum(int64_t minute, int64_t minutes) const
{
    BurnRateCell cell;
    for (const auto& slot : m_slots) {
        if (slot.minute < 0 || slot.minute > minute || slot.minute <= minute - minutes)
            continue;
        cell.met += slot.met;
        for (size_t cause = 0; cause < missCauseCount; ++cause) {
            cell.causes[cause] += slot.missed[cause];
            cell.missed += slot.missed[cause];
        }
    }
    return cell;
}

} // namespace redwingseam::report
