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
// accepted branch is replaced by a conditional update, and never by an older edit. Thread-safe.
class EditValidator {
public:
    // Time that other VMs leave an edit to the preferred VM before they handle it themselves.
    static constexpr base::Duration preferredVmDelay = std::chrono::seconds(2);
    // Time after which a call without a reply is retried.
    static constexpr base::Duration retryInterval = std::chrono::seconds(2);

    void onEdit(const store::BranchEdit&, base::ObjectVersion, base::Instant now);
    void onEditDeleted(const std::string& path, base::ObjectVersion, base::Instant now);
    void onAccepted(const std::string& path, base::ObjectVersion, base::ObjectVersion editVersion);
    void onAcceptReply(const store::StoreReply&, base::Instant now);
    void onStatusReply(const store::StoreReply&, base::Instant now);

    // Returns the decisions to write now. A decision whose write fails is returned again later.
    std::vector<BranchDecision> takeDueDecisions(base::Instant now, bool isPreferred);

private:
    struct Edit {
        base::ObjectVersion version;
        // Empty if the branch was deleted.
        std::optional<std::string> json;
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
