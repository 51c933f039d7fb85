#pragma once

#include "manifest/ManifestCheck.h"
#include "manifest/checks/EntryName.h"

namespace redwingseam::manifest::checks {

// Accounts that no key leads to, keys that lead to another account than stated, and a list that admits nobody.
struct AccountKeys {
    static void run(const ManifestIndex& index, Findings& findings)
    {
        if (index.requiresKeys() && index.accounts().empty())
            findings.push_back({ FindingKind::Error, "accounts", "the list is empty, so every request that needs a key is refused" });
        for (const auto& account : index.accounts()) {
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
