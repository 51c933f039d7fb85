#pragma once

#include "redwingseam/store/PlatformReply.h"
#include "store/StoreReply.h"

#include <optional>
#include <string>
#include <vector>

namespace redwingseam::cli {

// Reads and writes the platform's store, one call at a time.
class BlockingStoreClient {
public:
    explicit BlockingStoreClient(std::string url)
        : m_url(std::move(url))
    {
    }

    // All objects under a prefix; nothing if the store can't be reached.
    std::optional<store::StoreChanges> list(const std::string& prefix) const;
    // Writes, or with no value removes, an object that must have the expected version; 0 for absent.
    store::CallOutcome write(const base::ObjectKey&, base::ObjectVersion expected, const std::optional<store::ObjectValue>&, base::ObjectVersion& written) const;

private:
    std::string m_url;
};

} // namespace redwingseam::cli
