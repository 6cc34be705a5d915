// Stores one batch of idempotency records in a bucket: read, apply, write, and read again when the
// outcome of a call is unknown.
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

/// State of one bucket: its content as last read or written by this node, and the batch being
/// stored.
struct IdempotencyMachine {
    bool loaded = false;
    /// True when the content was read for this batch, not kept from an earlier one.
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
    /// Set after a call without a usable result, so that retries do not overload a failing
    /// platform.
    bool after_pause = false;
};
struct WriteBucket {
    std::int64_t version = 0;
    IdempotencyBucket bucket;
};
/// The batch has ended. If it was not stored, none of its requests may be sent to a target.
struct BatchDone {
    bool stored = false;
    std::vector<ClaimDecision> decisions;
};
using IdempotencyAction = std::variant<ReadBucket, WriteBucket, BatchDone>;

/// The clock readings and the deadline that a step uses.
struct IdempotencyTimes {
    Time now{};
    Time deadline{};
    /// Wall-clock time; used only to drop expired records.
    std::int64_t wall_clock_s = 0;
};

/// Advances the batch by one event. Each event leads to exactly one action.
IdempotencyAction step(IdempotencyMachine& machine, const IdempotencyEvent& event,
                       const IdempotencyTimes& times);

}  // namespace ebonymount
