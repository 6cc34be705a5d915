#include <map>
#include <set>

#include "base/random.h"
#include "cluster/idempotency_machine.h"
#include "scenario/explore.h"

namespace ebonymount {
namespace {

constexpr int ROUNDS = 60;
constexpr int NODES = 3;
constexpr int KEYS = 4;

/// The stored bucket object and its version. `read` and `write` inject the platform's faults.
struct SimulatedBucket {
    IdempotencyBucket bucket;
    std::int64_t version = 0;
};

/// One node's idempotency state machine, with the batch that it is storing.
struct IdempotencyNode {
    IdempotencyMachine machine;
    bool busy = false;
    IdempotencyEvent next;
    Time deadline{};
    std::vector<IdempotencyUpdate> updates;
    std::vector<KeyClaim> claims;
};

/// Number of runs by key, and the claimants whose callers received `not_run`.
struct ObservedRuns {
    std::map<std::string, int> runs;
    std::set<std::string> reported_not_run;
};

IdempotencyEvent read(const SimulatedBucket& store, Random& random) {
    if (random() % 5 == 0) {
        return BucketRead{};
    }
    const StoreStatus status = store.version == 0 ? StoreStatus::absent : StoreStatus::done;
    return BucketRead{status, store.version, store.bucket};
}

/// A write may fail its version condition, be lost, or take effect while its response is lost.
IdempotencyEvent write(SimulatedBucket& store, const WriteBucket& action, Random& random) {
    const std::uint64_t fault = random() % 6;
    if (fault == 0) {
        return BucketWritten{};
    }
    if (action.version != store.version) {
        return BucketWritten{StoreStatus::conflict, store.version};
    }
    store.bucket = action.bucket;
    ++store.version;
    return fault == 1 ? BucketWritten{} : BucketWritten{StoreStatus::done, store.version};
}

/// Sends the granted requests, some of which do not run, and queues updates with their outcomes.
void apply_decisions(IdempotencyNode& node, const BatchDone& done, ObservedRuns& observed,
                     Random& random) {
    for (std::size_t index = 0; index < node.claims.size(); ++index) {
        const KeyClaim& request = node.claims[index];
        if (!done.stored) {
            observed.reported_not_run.insert(request.claimant);
            node.updates.push_back({request.key, request.claimant, IdempotencyState::not_run, ""});
            continue;
        }
        if (done.decisions.at(index).outcome != ClaimOutcome::granted) {
            continue;
        }
        const std::uint64_t choice = random() % 4;
        if (choice == 0) {
            node.updates.push_back({request.key, request.claimant, IdempotencyState::not_run, ""});
        } else if (choice == 1) {
            // The claimant hangs forever after sending, so no outcome is recorded.
            ++observed.runs[request.key];
        } else {
            ++observed.runs[request.key];
            node.updates.push_back({request.key, request.claimant, IdempotencyState::ran, "done"});
        }
    }
    node.claims.clear();
    node.busy = false;
}

void begin(IdempotencyNode& node, int number, int round, Time now, Random& random) {
    IdempotencyBatch batch;
    batch.updates.swap(node.updates);
    const std::uint64_t count = random() % 3;
    for (std::uint64_t index = 0; index < count; ++index) {
        const std::string key = "k" + std::to_string(random() % KEYS);
        const std::string claimant =
            std::to_string(number) + "/" + std::to_string(round) + "/" + std::to_string(index);
        batch.claims.push_back({key, 1, claimant});
    }
    node.claims = batch.claims;
    node.next = BeginBatch{batch};
    node.deadline = now + from_ms(static_cast<std::int64_t>(random() % 12));
    node.busy = true;
}

void advance(IdempotencyNode& node, SimulatedBucket& store, ObservedRuns& observed, Time now,
             Random& random) {
    const IdempotencyAction action = step(node.machine, node.next, {now, node.deadline, 1000});
    if (const BatchDone* done = std::get_if<BatchDone>(&action)) {
        if (!done->stored) {
            node.updates.insert(node.updates.end(), node.machine.batch.updates.begin(),
                                node.machine.batch.updates.end());
        }
        apply_decisions(node, *done, observed, random);
    } else if (const WriteBucket* bucket = std::get_if<WriteBucket>(&action)) {
        node.next = write(store, *bucket, random);
    } else {
        node.next = read(store, random);
    }
}

}  // namespace

ExploreResult explore_idempotency(std::uint64_t seed) {
    Random random(seed);
    SimulatedBucket store;
    ObservedRuns observed;
    std::vector<IdempotencyNode> nodes(NODES);
    ExploreResult result;
    Time now = Time{} + from_ms(1000);
    for (int round = 0; round < ROUNDS * NODES; ++round) {
        now += from_ms(1);
        ++result.steps;
        const std::size_t number = random() % NODES;
        IdempotencyNode& node = nodes.at(number);
        if (!node.busy) {
            begin(node, static_cast<int>(number), round, now, random);
        }
        advance(node, store, observed, now, random);
        for (const auto& [key, runs] : observed.runs) {
            if (runs > 1) {
                result.failure = "key " + key + " ran " + std::to_string(runs) +
                                 " times in round " + std::to_string(round);
                return result;
            }
        }
    }
    return result;
}

}  // namespace ebonymount
