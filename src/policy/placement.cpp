#include "policy/placement.h"

namespace ebonymount {

const Target* find_target(const Placement& placement, const std::string& id) {
    for (const Target& target : placement.targets) {
        if (target.id == id) {
            return &target;
        }
    }
    return nullptr;
}

const Snapshot* find_snapshot(const Placement& placement, const std::string& id) {
    for (const Snapshot& snapshot : placement.snapshots) {
        if (snapshot.id == id) {
            return &snapshot;
        }
    }
    return nullptr;
}

std::int64_t document_count(const Snapshot& snapshot) {
    std::int64_t documents = 0;
    for (const Shard& shard : snapshot.shards) {
        documents += shard.documents;
    }
    return documents;
}

}  // namespace ebonymount
