#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Accounts that no key leads to, and keys that lead to another account than stated.
struct AccountKeys {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        for (const auto& account : index.manifest().accounts) {
            if (account.keys.empty())
                findings.push_back({ FindingKind::NeverMatches, entryName(account), "no key" });
            for (const auto& key : account.keys) {
                const auto* owner = index.account(key);
                if (owner != &account)
                    findings.push_back({ FindingKind::Error, entryName(account), maskedKey(key) + " belongs to " + entryName(*owner) });
            }
        }
    }
};

static_assert(ManifestCheck<AccountKeys>);

} // namespace redwingseam::manifest::checks
