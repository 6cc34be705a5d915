// Stores one batch of claims for a bucket: read, apply, write, and read again after a doubt.
//
// A batch counts as stored only when the platform has confirmed a write that contains it, or a
// fresh read shows that nothing has to be written.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "base/time.h"
#include "cluster/store_status.h"
#include "policy/idempotency.h"

namespace ebonymount {

/// The bucket as this node last knew it, and the batch being stored.
struct IdempotencyMachine {
    bool loaded = false;
    /// True when the content was read for this batch, not remembered from an earlier one.
    bool fresh = false;
    std::int64_t version = 0;
    IdempotencyBucket content;
    IdempotencyBatch batch;
    IdempotencyBatchResult proposed;
};

struct BeginBatch {
    IdempotencyBatch batch;
};
struct BucketRead {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
    IdempotencyBucket bucket;
};
struct BucketWritten {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
};
using IdempotencyEvent = std::variant<BeginBatch, BucketRead, BucketWritten>;

struct ReadBucket {
    /// Set after a failed call, so that a platform in trouble is not pressed.
    bool after_pause = false;
};
struct WriteBucket {
    std::int64_t version = 0;
    IdempotencyBucket bucket;
};
/// The end of a batch. When it was not stored nothing may be sent for any of its requests.
struct BatchDone {
    bool stored = false;
    std::vector<ClaimDecision> decisions;
};
using IdempotencyAction = std::variant<ReadBucket, WriteBucket, BatchDone>;

/// Times that a step is given.
struct IdempotencyTimes {
    Time now{};
    Time deadline{};
    /// Wall clock, for dropping old records only.
    std::int64_t wall_clock_s = 0;
};

/// Advances the batch by one event; exactly one action follows each event.
IdempotencyAction step(IdempotencyMachine& machine, const IdempotencyEvent& event,
                       const IdempotencyTimes& times);

}  // namespace ebonymount
