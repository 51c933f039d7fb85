#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"
#include "redwingseam/store/BranchEdit.h"
#include "redwingseam/store/StoreReply.h"
#include "settings/BranchDecision.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace redwingseam::settings {

// Validates operators' edits of branches and decides which to accept. Several VMs may do so at once: the
// accepted branch is replaced by a conditional update, and never by an older edit. The preferred VM handles
// edits first, which avoids duplicate writes. Thread-safe.
class EditValidator {
public:
    // Time that other VMs leave an edit to the preferred VM before they handle it themselves.
    static constexpr base::Duration preferredVmDelay = std::chrono::seconds(2);
    // Time after which a call without a reply is retried.
    static constexpr base::Duration retryInterval = std::chrono::seconds(2);

    // Record an edit, or the deletion of a branch by an operator. Versions that are not newer are ignored.
    void onEdit(const store::BranchEdit&, base::ObjectVersion, base::Instant now);
    void onEditDeleted(const std::string& path, base::ObjectVersion, base::Instant now);
    // Records the accepted branch in the store: its version and that of the edit it was made from.
    void onAccepted(const std::string& path, base::ObjectVersion, base::ObjectVersion editVersion);
    // Handle the replies to the writes of an accepted branch and of a status. After a conflict, an edit becomes
    // due at once; after a failed write of a rejection's status, it becomes due again later.
    void onAcceptReply(const store::StoreReply&, base::Instant now);
    void onStatusReply(const store::StoreReply&, base::Instant now);

    // Returns the decisions to write now. `isPreferred` states whether this VM is the preferred one. A decision
    // whose write fails is returned again later.
    std::vector<BranchDecision> takeDueDecisions(base::Instant now, bool isPreferred);

private:
    struct Edit {
        base::ObjectVersion version;
        // Empty if the branch was deleted.
        std::optional<std::string> json;
        // Time from which VMs that are not preferred handle the edit. The preferred VM handles it
        // `preferredVmDelay` earlier.
        base::Instant othersNotBefore;
        bool isRejected = false;
    };
    struct Accepted {
        base::ObjectVersion version;
        base::ObjectVersion editVersion;
    };

    void recordEdit(const std::string& path, base::ObjectVersion, std::optional<std::string> json, base::Instant now);

    base::Mutex m_mutex;
    std::map<std::string, Edit> m_edits;
    std::map<std::string, Accepted> m_accepted;
};

} // namespace redwingseam::settings
