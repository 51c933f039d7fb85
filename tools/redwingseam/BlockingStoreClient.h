#pragma once

#include "redwingseam/store/StoreReply.h"
#include "store/StoreResponseParser.h"

#include <optional>
#include <string>
#include <vector>

namespace redwingseam::cli {

// The command line's blocking client of the platform's object store. Each call times out after 5 seconds.
class BlockingStoreClient {
public:
    explicit BlockingStoreClient(std::string url)
        : m_url(std::move(url))
    {
    }

    // Returns all objects whose key starts with `prefix`, or nothing if the store cannot be reached.
    std::optional<store::StoreChanges> list(const std::string& prefix) const;
    // Writes an object, or deletes it if `value` is empty, on condition that it still has the expected
    // version; 0 stands for an object that does not exist. Sets `written` to the version that the store
    // reports, also on a conflict.
    store::CallOutcome write(const base::ObjectKey&, base::ObjectVersion expected, const std::optional<store::ObjectValue>&, base::ObjectVersion& written) const;

private:
    std::string m_url;
};

} // namespace redwingseam::cli
