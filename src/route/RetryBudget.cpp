#include "route/RetryBudget.h"

#include <algorithm>

namespace redwingseam::route {

void RetryBudget::earn(int64_t permille)
{
    m_credit = std::min(highestCredit, m_credit + permille);
}

bool RetryBudget::spend()
{
    if (m_credit < retryCost)
        return false;
    m_credit -= retryCost;
    return true;
}

} // namespace redwingseam::route
