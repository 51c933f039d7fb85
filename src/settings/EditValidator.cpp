#include "settings/EditValidator.h"

#include "redwingseam/settings/BranchCodec.h"

#include <mutex>

namespace redwingseam::settings {

void EditValidator::onEdit(const store::BranchEdit& edit, base::ObjectVersion version, base::Instant now)
{
    recordEdit(edit.path, version, edit.json, now);
}

void EditValidator::onEditDeleted(const std::string& path, base::ObjectVersion version, base::Instant now)
{
    recordEdit(path, version, std::nullopt, now);
}

void EditValidator::recordEdit(const std::string& path, base::ObjectVersion version, std::optional<std::string> json, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    auto& edit = m_edits[path];
    if (version <= edit.version)
        return;
    edit = { version, std::move(json), now + preferredVmDelay, false };
}

void EditValidator::onAccepted(const std::string& path, base::ObjectVersion version, base::ObjectVersion editVersion)
{
    std::lock_guard guard(m_mutex);
    auto& accepted = m_accepted[path];
    if (version > accepted.version)
        accepted = { version, editVersion };
}

void EditValidator::onAcceptReply(const store::StoreReply& reply, base::Instant now)
{
    const auto* written = reply.call.value ? std::get_if<store::AcceptedBranch>(&*reply.call.value) : nullptr;
    if (!written)
        return;
    std::lock_guard guard(m_mutex);
    auto found = m_edits.find(written->branch.path);
    // Another VM wrote first. The node passes the branch in the reply to `onAccepted`, so the edit can be
    // validated again at once.
    bool mustRetry = found != m_edits.end() && reply.outcome == store::CallOutcome::Conflict;
    if (mustRetry)
        found->second.othersNotBefore = now;
}

void EditValidator::onStatusReply(const store::StoreReply& reply, base::Instant now)
{
    const auto* written = reply.call.value ? std::get_if<store::BranchStatus>(&*reply.call.value) : nullptr;
    if (!written || reply.outcome == store::CallOutcome::Done)
        return;
    std::lock_guard guard(m_mutex);
    auto found = m_edits.find(written->path);
    if (found == m_edits.end() || found->second.version != written->editVersion)
        return;
    // The status tells the operator of a rejection, so a failed write of it is retried.
    found->second.isRejected = false;
    found->second.othersNotBefore = now + preferredVmDelay + retryInterval;
}

std::vector<BranchDecision> EditValidator::takeDueDecisions(base::Instant now, bool isPreferred)
{
    std::lock_guard guard(m_mutex);
    std::vector<BranchDecision> decisions;
    for (auto& [path, edit] : m_edits) {
        const auto& accepted = m_accepted[path];
        bool isSettled = edit.isRejected || accepted.editVersion >= edit.version;
        bool isEarly = isPreferred ? now + preferredVmDelay < edit.othersNotBefore : now < edit.othersNotBefore;
        if (isSettled || isEarly)
            continue;
        edit.othersNotBefore = now + preferredVmDelay + retryInterval;
        BranchDecision decision { path, edit.version, accepted.version, std::nullopt, {} };
        if (!edit.json) {
            decision.branch = Branch { path, {}, true, {} };
        } else if (auto parsed = parseBranch(path, {}, *edit.json)) {
            decision.branch = std::move(parsed.value());
        } else {
            decision.reason = parsed.error().detail;
            edit.isRejected = true;
        }
        decisions.push_back(std::move(decision));
    }
    return decisions;
}

} // namespace redwingseam::settings
