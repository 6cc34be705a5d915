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
#include "policy/claim.h"

namespace ebonymount {

/// The bucket as this node last read or wrote it, and the batch being stored.
struct ClaimMachine {
    bool loaded = false;
    /// True when the content was read for this batch, not kept from an earlier one.
    bool fresh = false;
    std::int64_t version = 0;
    ClaimBucket content;
    ClaimBatch batch;
    ClaimResult proposed;
};

struct BeginBatch {
    ClaimBatch batch;
};
struct BucketRead {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
    ClaimBucket bucket;
};
struct BucketWritten {
    StoreStatus status = StoreStatus::unknown;
    std::int64_t version = 0;
};
using ClaimEvent = std::variant<BeginBatch, BucketRead, BucketWritten>;

struct ReadBucket {
    /// Set after a call without a usable result, so that retries do not overload a failing
    /// platform.
    bool after_pause = false;
};
struct WriteBucket {
    std::int64_t version = 0;
    ClaimBucket bucket;
};
/// The end of a batch. If it was not stored, none of its requests may be sent to a target.
struct BatchDone {
    bool stored = false;
    std::vector<ClaimDecision> decisions;
};
using ClaimAction = std::variant<ReadBucket, WriteBucket, BatchDone>;

/// The clock readings and the deadline that a step uses.
struct ClaimTimes {
    Time now{};
    Time deadline{};
    /// Wall-clock time; used only to drop expired records.
    std::int64_t wall_clock_s = 0;
};

/// Advances the batch by one event. Each event leads to exactly one action.
ClaimAction step(ClaimMachine& machine, const ClaimEvent& event, const ClaimTimes& times);

}  // namespace ebonymount
