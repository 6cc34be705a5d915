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

/// The bucket object with the platform's faults.
struct BucketStore {
    IdempotencyBucket bucket;
    std::int64_t version = 0;
};

/// One node's claimer with the batch that it stores.
struct ClaimNode {
    IdempotencyMachine machine;
    bool busy = false;
    IdempotencyEvent next;
    Time deadline{};
    std::vector<IdempotencyUpdate> updates;
    std::vector<KeyClaim> requests;
};

/// What the callers were told and what ran.
struct ReferenceRecord {
    std::map<std::string, int> runs;
    std::set<std::string> told_not_run;
};

IdempotencyEvent read(const BucketStore& store, Random& random) {
    if (random() % 5 == 0) {
        return BucketRead{};
    }
    const StoreStatus status = store.version == 0 ? StoreStatus::absent : StoreStatus::done;
    return BucketRead{status, store.version, store.bucket};
}

/// A write can be refused by its condition, be lost, or take effect with its answer lost.
IdempotencyEvent write(BucketStore& store, const WriteBucket& action, Random& random) {
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

/// Sends granted requests, each of which may turn out not to have run, and notes their ends.
void settle(ClaimNode& node, const BatchDone& done, ReferenceRecord& reference, Random& random) {
    for (std::size_t index = 0; index < node.requests.size(); ++index) {
        const KeyClaim& request = node.requests[index];
        if (!done.stored) {
            reference.told_not_run.insert(request.claimant);
            node.updates.push_back({request.key, request.claimant, IdempotencyState::not_run, ""});
            continue;
        }
        if (done.decisions.at(index).answer != ClaimOutcome::granted) {
            continue;
        }
        const std::uint64_t luck = random() % 4;
        if (luck == 0) {
            node.updates.push_back({request.key, request.claimant, IdempotencyState::not_run, ""});
        } else if (luck == 1) {
            // The claimant is frozen for good after its send: no outcome is recorded.
            ++reference.runs[request.key];
        } else {
            ++reference.runs[request.key];
            node.updates.push_back({request.key, request.claimant, IdempotencyState::ran, "done"});
        }
    }
    node.requests.clear();
    node.busy = false;
}

void begin(ClaimNode& node, int number, int round, Time now, Random& random) {
    IdempotencyBatch batch;
    batch.updates.swap(node.updates);
    const std::uint64_t count = random() % 3;
    for (std::uint64_t index = 0; index < count; ++index) {
        const std::string key = "k" + std::to_string(random() % KEYS);
        const std::string claimant =
            std::to_string(number) + "/" + std::to_string(round) + "/" + std::to_string(index);
        batch.requests.push_back({key, 1, claimant});
    }
    node.requests = batch.requests;
    node.next = BeginBatch{batch};
    node.deadline = now + from_ms(static_cast<std::int64_t>(random() % 12));
    node.busy = true;
}

void advance(ClaimNode& node, BucketStore& store, ReferenceRecord& reference, Time now,
             Random& random) {
    const IdempotencyAction action = step(node.machine, node.next, {now, node.deadline, 1000});
    if (const BatchDone* done = std::get_if<BatchDone>(&action)) {
        if (!done->stored) {
            node.updates.insert(node.updates.end(), node.machine.batch.updates.begin(),
                                node.machine.batch.updates.end());
        }
        settle(node, *done, reference, random);
    } else if (const WriteBucket* bucket = std::get_if<WriteBucket>(&action)) {
        node.next = write(store, *bucket, random);
    } else {
        node.next = read(store, random);
    }
}

}  // namespace

ExploreResult explore_idempotency(std::uint64_t seed) {
    Random random(seed);
    BucketStore store;
    ReferenceRecord reference;
    std::vector<ClaimNode> nodes(NODES);
    ExploreResult result;
    Time now = Time{} + from_ms(1000);
    for (int round = 0; round < ROUNDS * NODES; ++round) {
        now += from_ms(1);
        ++result.steps;
        const std::size_t number = random() % NODES;
        ClaimNode& node = nodes.at(number);
        if (!node.busy) {
            begin(node, static_cast<int>(number), round, now, random);
        }
        advance(node, store, reference, now, random);
        for (const auto& [key, runs] : reference.runs) {
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
