// How much of the data a response covers, relative to the shard map of the pinned snapshot.
#pragma once

#include <cstdint>

namespace ebonymount {

/// Shards that answered and their documents, out of all in the snapshot.
struct Coverage {
    std::int64_t shards_answered = 0;
    std::int64_t shards_total = 0;
    std::int64_t documents_answered = 0;
    std::int64_t documents_total = 0;

    friend bool operator==(const Coverage&, const Coverage&) = default;
};

/// Documents answered, in thousandths of all documents, rounded down; 1000 if there are none.
inline std::int64_t permille(const Coverage& coverage) {
    if (coverage.documents_total == 0) {
        return 1000;
    }
    return coverage.documents_answered * 1000 / coverage.documents_total;
}

/// True when every shard answered.
inline bool is_complete(const Coverage& coverage) {
    return coverage.shards_answered == coverage.shards_total;
}

}  // namespace ebonymount
