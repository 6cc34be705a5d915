// Placement of a service's data: its targets, and for each snapshot the map from shards to
// replicas.
//
// The shard map belongs to the snapshot, so repartitioning makes a new snapshot with another map.
// A service without shards has one snapshot with one shard that all of its targets serve.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonymount {

/// One back-end process that runs requests of a service.
struct Target {
    std::string id;
    std::string data_centre;
    std::string host;
    std::string address;
    bool leaving = false;

    friend bool operator==(const Target&, const Target&) = default;
};

/// One shard of a snapshot. `replicas` are ids of targets; each replica that holds the snapshot
/// reports `digest` with its results.
struct Shard {
    std::string id;
    std::int64_t documents = 1;
    std::string digest;
    std::vector<std::string> replicas;

    friend bool operator==(const Shard&, const Shard&) = default;
};

/// One version of a service's index, with its own shard map.
struct Snapshot {
    std::string id;
    std::vector<Shard> shards;

    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// Targets and snapshots of one service, newest snapshot first.
struct Placement {
    std::string service;
    std::int64_t version = 0;
    std::vector<Target> targets;
    std::vector<Snapshot> snapshots;

    friend bool operator==(const Placement&, const Placement&) = default;
};

/// The target with that id, or null.
const Target* find_target(const Placement& placement, const std::string& id);

/// The snapshot with that id, or null.
const Snapshot* find_snapshot(const Placement& placement, const std::string& id);

/// Number of documents in all shards of a snapshot.
std::int64_t document_count(const Snapshot& snapshot);

}  // namespace ebonymount
