// Idempotency records, which make non-idempotent requests run at most once.
//
// Before a non-idempotent request is sent, its key is claimed by a conditional write to a bucket
// object in the platform's store. Many claims and updates for one bucket are written together. If
// the response that confirms a write is lost, the bucket is read again and the claimant looks for
// its own record, so applying the same batch twice must give the same decisions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/verdict.h"

namespace ebonymount {

/// Last reported state of the request whose key was claimed.
enum class IdempotencyState : std::uint8_t { claimed, not_run, ran, may_have_run };

/// Idempotency record of one key in a bucket.
struct IdempotencyRecord {
    std::uint64_t fingerprint = 0;
    std::string claimant;
    IdempotencyState state = IdempotencyState::claimed;
    /// Seconds since 1970 by the claimant's clock; used only to drop old records.
    std::int64_t claimed_at_s = 0;
    /// The response, once the request ran.
    std::string result;

    friend bool operator==(const IdempotencyRecord&, const IdempotencyRecord&) = default;
};

/// Content of a bucket object: idempotency records by key.
using IdempotencyBucket = std::map<std::string, IdempotencyRecord>;

/// A claim of a key, which gives the claimant the right to send the key's request.
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

/// Claims and updates that are written to one bucket together.
struct IdempotencyBatch {
    std::vector<KeyClaim> claims;
    std::vector<IdempotencyUpdate> updates;
    /// Age at which records are dropped, from the service's row of the table; empty for a batch
    /// without claims, which drops none.
    std::optional<std::int64_t> retention_s;
};

/// Outcome of a claim.
enum class ClaimOutcome : std::uint8_t {
    granted,       ///< The claimant may send the request once the bucket has been stored.
    repeated,      ///< The key was claimed before; `record` holds the state of that request.
    other_request  ///< The key was used for a request with other content.
};

/// The decision on one claim, with the key's record after it.
struct ClaimDecision {
    ClaimOutcome outcome = ClaimOutcome::granted;
    IdempotencyRecord record;

    friend bool operator==(const ClaimDecision&, const ClaimDecision&) = default;
};

/// The bucket after a batch, with one decision for each claim, in the order of the claims.
struct IdempotencyBatchResult {
    IdempotencyBucket bucket;
    std::vector<ClaimDecision> decisions;
    /// False if the batch left the bucket unchanged, so that it need not be written.
    bool changed = false;
};

/// Applies a batch to a bucket that was read from the store. Records older than the retention are
/// dropped first.
IdempotencyBatchResult apply_batch(const IdempotencyBucket& bucket, const IdempotencyBatch& batch,
                                   std::int64_t now_s);

/// Name of the bucket object of a key.
std::string bucket_of(const std::string& service, const std::string& key);

/// State under which a verdict is stored.
IdempotencyState state_for(Verdict verdict);

/// Verdict for a caller that repeats a key whose request is in this state.
Verdict verdict_for(IdempotencyState state);

}  // namespace ebonymount
