#include "policy/idempotency.h"

#include "base/hash.h"

namespace ebonymount {
namespace {

/// Number of buckets over which a service's keys are spread.
constexpr std::uint64_t BUCKETS_PER_SERVICE = 64;

void drop_expired(IdempotencyBatchResult& result, std::int64_t retention_s, std::int64_t now_s) {
    const auto is_expired = [retention_s, now_s](const auto& item) {
        return item.second.claimed_at_s + retention_s < now_s;
    };
    if (std::erase_if(result.bucket, is_expired) > 0) {
        result.changed = true;
    }
}

void apply_update(IdempotencyBatchResult& result, const IdempotencyUpdate& update) {
    const auto found = result.bucket.find(update.key);
    if (found == result.bucket.end() || found->second.claimant != update.claimant) {
        return;
    }
    IdempotencyRecord& record = found->second;
    if (record.state == update.state && record.result == update.result) {
        return;
    }
    record.state = update.state;
    record.result = update.result;
    result.changed = true;
}

ClaimDecision grant(IdempotencyBatchResult& result, const KeyClaim& claim, std::int64_t now_s) {
    IdempotencyRecord record;
    record.fingerprint = claim.fingerprint;
    record.claimant = claim.claimant;
    record.claimed_at_s = now_s;
    result.bucket[claim.key] = record;
    result.changed = true;
    return {ClaimOutcome::granted, record};
}

ClaimDecision decide(IdempotencyBatchResult& result, const KeyClaim& claim, std::int64_t now_s) {
    const auto found = result.bucket.find(claim.key);
    if (found == result.bucket.end()) {
        return grant(result, claim, now_s);
    }
    const IdempotencyRecord& record = found->second;
    if (record.fingerprint != claim.fingerprint) {
        return {ClaimOutcome::other_request, record};
    }
    if (record.claimant == claim.claimant) {
        return {ClaimOutcome::granted, record};
    }
    if (record.state == IdempotencyState::not_run) {
        return grant(result, claim, now_s);
    }
    return {ClaimOutcome::repeated, record};
}

}  // namespace

IdempotencyBatchResult apply_batch(const IdempotencyBucket& bucket, const IdempotencyBatch& batch,
                                   std::int64_t now_s) {
    IdempotencyBatchResult result;
    result.bucket = bucket;
    if (batch.retention_s.has_value()) {
        drop_expired(result, *batch.retention_s, now_s);
    }
    for (const IdempotencyUpdate& update : batch.updates) {
        apply_update(result, update);
    }
    for (const KeyClaim& claim : batch.claims) {
        result.decisions.push_back(decide(result, claim, now_s));
    }
    return result;
}

std::string bucket_of(const std::string& service, const std::string& key) {
    return "claims/" + service + "/" + std::to_string(stable_hash(key) % BUCKETS_PER_SERVICE);
}

IdempotencyState state_for(Verdict verdict) {
    switch (verdict) {
        case Verdict::not_run:
            return IdempotencyState::not_run;
        case Verdict::ran:
            return IdempotencyState::ran;
        case Verdict::may_have_run:
            return IdempotencyState::may_have_run;
    }
    return IdempotencyState::may_have_run;
}

Verdict verdict_for(IdempotencyState state) {
    switch (state) {
        case IdempotencyState::not_run:
            return Verdict::not_run;
        case IdempotencyState::ran:
            return Verdict::ran;
        case IdempotencyState::claimed:
        case IdempotencyState::may_have_run:
            return Verdict::may_have_run;
    }
    return Verdict::may_have_run;
}

}  // namespace ebonymount
