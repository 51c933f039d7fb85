#pragma once

#include "forward/Attempt.h"

namespace redwingseam::forward {

// The attempts of an Exchange that may be in flight: the current one, and the one before it while that one is kept because it
// may still go on. Not synchronised.
class AttemptPair {
public:
    // `keepLimit` is how long an attempt is kept once its request was written to the other upstream; nullopt if it is kept until
    // one of the two has ended.
    explicit AttemptPair(std::optional<base::Duration> keepLimit)
        : m_keepLimit(keepLimit)
    {
    }

    // The current attempt, or the last one.
    Attempt& current() { return m_current; }
    const Attempt& current() const { return m_current; }
    // The attempt before it, while it is kept.
    const std::optional<Attempt>& kept() const { return m_kept; }
    bool isAnyKept() const { return m_kept.has_value(); }

    // Makes an attempt at the upstream the current one.
    void begin(fleet::Placement, bool isFirstContact, base::Instant now);
    // Keeps the current attempt, beside the one that begins next. The caller must have taken the one kept before.
    void keepCurrent();
    // Returns the kept attempt, which is kept no longer.
    std::optional<Attempt> takeKept();
    // Makes the kept attempt the current one, after the end of the other. `isBackupMissing` says whether the other's upstream has
    // no backup of the kept run. There must be a kept attempt.
    void goBack(bool isBackupMissing);

    // Records that bytes of the kept attempt arrived that are no event.
    void recordKeptActivity(base::Instant now);
    // Excludes a time in which this process did not run from the silence of both.
    void discountPause(base::Duration, base::Instant now);

    // Whether both upstreams may run the request.
    bool mayBothRun() const { return m_kept && !m_current.isConnecting; }
    // Whether both have run for as long as they may.
    bool isKeptOverdue(base::Instant now) const;
    // Returns the address of the upstream with a backup of the run that has brought the last event.
    std::optional<std::string> backupAddress() const { return (m_kept ? *m_kept : m_current).backupAddress(); }

private:
    std::optional<base::Duration> m_keepLimit;
    Attempt m_current;
    std::optional<Attempt> m_kept;
};

} // namespace redwingseam::forward
