#include "policy/idempotency.h"

#include "base/hash.h"

namespace ebonymount {
namespace {

/// Buckets a service's keys are spread over.
constexpr std::uint64_t BUCKETS_PER_SERVICE = 64;

void drop_old(IdempotencyBatchResult& result, std::int64_t retention_s, std::int64_t now_s) {
    const auto is_old = [retention_s, now_s](const auto& item) {
        return item.second.claimed_at_s + retention_s < now_s;
    };
    if (std::erase_if(result.bucket, is_old) > 0) {
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

ClaimDecision grant(IdempotencyBatchResult& result, const KeyClaim& request, std::int64_t now_s) {
    IdempotencyRecord record;
    record.fingerprint = request.fingerprint;
    record.claimant = request.claimant;
    record.claimed_at_s = now_s;
    result.bucket[request.key] = record;
    result.changed = true;
    return {ClaimOutcome::granted, record};
}

ClaimDecision decide(IdempotencyBatchResult& result, const KeyClaim& request, std::int64_t now_s) {
    const auto found = result.bucket.find(request.key);
    if (found == result.bucket.end()) {
        return grant(result, request, now_s);
    }
    const IdempotencyRecord& record = found->second;
    if (record.fingerprint != request.fingerprint) {
        return {ClaimOutcome::other_request, record};
    }
    if (record.claimant == request.claimant) {
        return {ClaimOutcome::granted, record};
    }
    if (record.state == IdempotencyState::not_run) {
        return grant(result, request, now_s);
    }
    return {ClaimOutcome::repeated, record};
}

}  // namespace

IdempotencyBatchResult apply_batch(const IdempotencyBucket& bucket, const IdempotencyBatch& batch,
                                   std::int64_t now_s) {
    IdempotencyBatchResult result;
    result.bucket = bucket;
    drop_old(result, batch.retention_s, now_s);
    for (const IdempotencyUpdate& update : batch.updates) {
        apply_update(result, update);
    }
    for (const KeyClaim& request : batch.requests) {
        result.decisions.push_back(decide(result, request, now_s));
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
