// Claims that make non-idempotent requests run at most once.
//
// Before a non-idempotent request is sent its key is claimed by a conditional write to a bucket
// object of the platform. Many claims and outcomes for one bucket are written together. When the
// answer that confirms a write is lost, the bucket is read again and the claimant looks for its
// own claim; so applying the same batch twice must give the same decisions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/verdict.h"

namespace ebonymount {

/// What is known of a claimed request.
enum class IdempotencyState : std::uint8_t { claimed, not_run, ran, may_have_run };

/// One key in a bucket.
struct IdempotencyRecord {
    std::uint64_t fingerprint = 0;
    std::string claimant;
    IdempotencyState state = IdempotencyState::claimed;
    /// Seconds since 1970 at the claimant; used only to drop old records.
    std::int64_t claimed_at_s = 0;
    /// The answer, once the request ran.
    std::string result;

    friend bool operator==(const IdempotencyRecord&, const IdempotencyRecord&) = default;
};

/// A bucket object by key.
using IdempotencyBucket = std::map<std::string, IdempotencyRecord>;

/// Asks for the right to send the request of a key.
struct KeyClaim {
    std::string key;
    std::uint64_t fingerprint = 0;
    std::string claimant;
};

/// Reports how the request of a claimed key ended.
struct IdempotencyUpdate {
    std::string key;
    std::string claimant;
    IdempotencyState state = IdempotencyState::may_have_run;
    std::string result;
};

/// Work for one bucket that is written together.
struct IdempotencyBatch {
    std::vector<KeyClaim> requests;
    std::vector<IdempotencyUpdate> updates;
    std::int64_t retention_s = 86400;
};

/// Answers to a claim.
enum class ClaimOutcome : std::uint8_t {
    granted,       ///< The claimant may send once the bucket has been stored.
    repeated,      ///< Somebody has claimed the key; `record` says how that went.
    other_request  ///< The key was used for a request with another content.
};

struct ClaimDecision {
    ClaimOutcome answer = ClaimOutcome::granted;
    IdempotencyRecord record;

    friend bool operator==(const ClaimDecision&, const ClaimDecision&) = default;
};

/// The bucket after a batch, with a decision per request in their order.
struct IdempotencyBatchResult {
    IdempotencyBucket bucket;
    std::vector<ClaimDecision> decisions;
    /// False when the bucket need not be written.
    bool changed = false;
};

/// Applies a batch to a bucket as it was read.
IdempotencyBatchResult apply_batch(const IdempotencyBucket& bucket, const IdempotencyBatch& batch,
                                   std::int64_t now_s);

/// Name of the bucket object of a key.
std::string bucket_of(const std::string& service, const std::string& key);

/// State that records a verdict.
IdempotencyState state_for(Verdict verdict);

/// Verdict for a caller who repeats a key whose request stands in this state.
Verdict verdict_for(IdempotencyState state);

}  // namespace ebonymount
