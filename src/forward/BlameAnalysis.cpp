#include "forward/BlameAnalysis.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace redwingseam::forward {

// The requests that are lost with an upstream end within this time of each other.
static constexpr base::Duration failureSpan = std::chrono::milliseconds(500);
// Upstreams that fail further apart than this do not fail together.
static constexpr base::Duration separateFailures = std::chrono::milliseconds(500);
// The losses of upstreams that fail together arrive within this time, also from another region.
static constexpr base::Duration jointFailureSpan = std::chrono::milliseconds(100);

std::vector<CrashEvent> groupByFailure(std::vector<PartCrash> crashes)
{
    std::erase_if(crashes, [](const PartCrash& crash) { return crash.parts.empty(); });
    std::sort(crashes.begin(), crashes.end(), [](const PartCrash& left, const PartCrash& right) { return std::tie(left.lostAt, left.id) < std::tie(right.lostAt, right.id); });
    std::vector<CrashEvent> events;
    for (auto& crash : crashes) {
        auto isSameFailure = [&](const CrashEvent& event) { return event.upstream == crash.upstream && crash.lostAt - event.lostAt < failureSpan; };
        auto event = std::find_if(events.rbegin(), events.rend(), isSameFailure);
        if (event == events.rend())
            events.push_back({ crash.upstream, crash.lostAt, { std::move(crash) } });
        else
            event->lost.push_back(std::move(crash));
    }
    return events;
}

namespace {

    // How one failure speaks against a cause.
    struct Charge {
        base::Instant latestSentAt {};
        std::set<base::ClientHash> accounts;
    };

    // The failures that one cause can explain.
    struct Explanation {
        CrashBlame blame;
        // All failures, including those that count as one.
        unsigned failures = 0;
        size_t position = 0;
        base::UpstreamName lastUpstream;
        std::set<base::UpstreamName> upstreams;
        // Those that had a request in each failure.
        std::set<base::ClientHash> accounts;

        void add(const CrashEvent& event, const Charge& charge, bool isUnambiguous)
        {
            addAccounts(charge.accounts);
            ++failures;
            upstreams.insert(event.upstream);
            blame.upstreams = upstreams.size();
            auto sinceLast = event.lostAt - blame.lastCrashAt;
            bool isLater = charge.latestSentAt >= blame.lastCrashAt && sinceLast >= jointFailureSpan;
            bool isElsewhere = event.upstream != lastUpstream && sinceLast >= separateFailures;
            if (blame.crashes && !isLater && !isElsewhere)
                return;
            ++blame.crashes;
            blame.unambiguousCrashes += isUnambiguous;
            blame.lastCrashAt = event.lostAt;
            lastUpstream = event.upstream;
        }

        void addAccounts(const std::set<base::ClientHash>& others)
        {
            if (!failures)
                accounts = others;
            std::erase_if(accounts, [&](auto account) { return !others.contains(account); });
            blame.soleAccount = accounts.size() == 1 ? *accounts.begin() : base::ClientHash {};
        }

        auto rank() const { return std::tuple(blame.crashes, failures, blame.cause.kind, position, blame.cause.value); }
    };

} // namespace

using Explanations = std::map<CrashCause, Explanation>;

static std::vector<CrashCause> causesOf(const PartCrash& crash)
{
    std::vector<CrashCause> causes;
    for (auto part : crash.parts)
        causes.push_back(CrashCause::part(part));
    causes.push_back(CrashCause::request(crash.fingerprint));
    return causes;
}

static void explain(const CrashEvent& event, Explanations& explanations)
{
    std::map<CrashCause, Charge> charges;
    for (const auto& crash : event.lost) {
        size_t position = 0;
        for (auto cause : causesOf(crash)) {
            auto& charge = charges.try_emplace(cause, Charge { crash.sentAt, {} }).first->second;
            charge.latestSentAt = std::max(charge.latestSentAt, crash.sentAt);
            charge.accounts.insert(crash.account);
            auto& explanation = explanations[cause];
            explanation.blame.cause = cause;
            explanation.position = std::max(explanation.position, position++);
        }
    }
    bool isUnambiguous = event.parts().size() == 1;
    for (const auto& [cause, charge] : charges)
        explanations[cause].add(event, charge, isUnambiguous);
}

static std::optional<CrashBlame> mostCommonCause(const std::vector<const CrashEvent*>& events)
{
    Explanations explanations;
    for (const auto* event : events)
        explain(*event, explanations);
    auto best = std::max_element(explanations.begin(), explanations.end(), [](const auto& left, const auto& right) { return left.second.rank() < right.second.rank(); });
    static constexpr unsigned minCrashes = 2;
    if (best == explanations.end() || best->second.blame.crashes < minCrashes)
        return std::nullopt;
    return best->second.blame;
}

static bool canExplain(const CrashEvent& event, CrashCause cause)
{
    return std::any_of(event.lost.begin(), event.lost.end(), [&](const PartCrash& crash) {
        auto causes = causesOf(crash);
        return std::find(causes.begin(), causes.end(), cause) != causes.end();
    });
}

std::vector<CrashBlame> assignBlame(const std::vector<CrashEvent>& events)
{
    std::vector<const CrashEvent*> unexplained;
    unexplained.reserve(events.size());
    for (const auto& event : events)
        unexplained.push_back(&event);
    std::vector<CrashBlame> blames;
    while (auto blame = mostCommonCause(unexplained)) {
        std::erase_if(unexplained, [&](const CrashEvent* event) { return canExplain(*event, blame->cause); });
        blames.push_back(*blame);
    }
    return blames;
}

} // namespace redwingseam::forward
