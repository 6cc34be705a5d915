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
#include "policy/claim.h"

namespace ebonymount {

/// The bucket as this node last knew it, and the batch being stored.
struct ClaimMachine {
    bool loaded = false;
    /// True when the content was read for this batch, not remembered from an earlier one.
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
    /// Set after a failed call, so that a platform in trouble is not pressed.
    bool after_pause = false;
};
struct WriteBucket {
    std::int64_t version = 0;
    ClaimBucket bucket;
};
/// The end of a batch. When it was not stored nothing may be sent for any of its requests.
struct BatchDone {
    bool stored = false;
    std::vector<ClaimDecision> decisions;
};
using ClaimAction = std::variant<ReadBucket, WriteBucket, BatchDone>;

/// Times that a step is given.
struct ClaimTimes {
    Time now{};
    Time deadline{};
    /// Wall clock, for dropping old records only.
    std::int64_t wall_clock_s = 0;
};

/// Advances the batch by one event; exactly one action follows each event.
ClaimAction step(ClaimMachine& machine, const ClaimEvent& event, const ClaimTimes& times);

}  // namespace ebonymount
