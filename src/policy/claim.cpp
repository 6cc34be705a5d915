#include "policy/claim.h"

#include "base/hash.h"

namespace ebonymount {
namespace {

/// Number of buckets over which a service's keys are spread.
constexpr std::uint64_t BUCKETS_PER_SERVICE = 64;

void drop_old(ClaimResult& result, std::int64_t retention_s, std::int64_t now_s) {
    const auto is_old = [retention_s, now_s](const auto& item) {
        return item.second.claimed_at_s + retention_s < now_s;
    };
    if (std::erase_if(result.bucket, is_old) > 0) {
        result.changed = true;
    }
}

void apply_update(ClaimResult& result, const ClaimUpdate& update) {
    const auto found = result.bucket.find(update.key);
    if (found == result.bucket.end() || found->second.claimant != update.claimant) {
        return;
    }
    ClaimRecord& record = found->second;
    if (record.state == update.state && record.result == update.result) {
        return;
    }
    record.state = update.state;
    record.result = update.result;
    result.changed = true;
}

ClaimDecision grant(ClaimResult& result, const ClaimRequest& request, std::int64_t now_s) {
    ClaimRecord record;
    record.fingerprint = request.fingerprint;
    record.claimant = request.claimant;
    record.claimed_at_s = now_s;
    result.bucket[request.key] = record;
    result.changed = true;
    return {ClaimAnswer::granted, record};
}

ClaimDecision decide(ClaimResult& result, const ClaimRequest& request, std::int64_t now_s) {
    const auto found = result.bucket.find(request.key);
    if (found == result.bucket.end()) {
        return grant(result, request, now_s);
    }
    const ClaimRecord& record = found->second;
    if (record.fingerprint != request.fingerprint) {
        return {ClaimAnswer::other_request, record};
    }
    if (record.claimant == request.claimant) {
        return {ClaimAnswer::granted, record};
    }
    if (record.state == ClaimState::not_run) {
        return grant(result, request, now_s);
    }
    return {ClaimAnswer::repeated, record};
}

}  // namespace

ClaimResult apply_batch(const ClaimBucket& bucket, const ClaimBatch& batch, std::int64_t now_s) {
    ClaimResult result;
    result.bucket = bucket;
    drop_old(result, batch.retention_s, now_s);
    for (const ClaimUpdate& update : batch.updates) {
        apply_update(result, update);
    }
    for (const ClaimRequest& request : batch.requests) {
        result.decisions.push_back(decide(result, request, now_s));
    }
    return result;
}

std::string bucket_of(const std::string& service, const std::string& key) {
    return "claims/" + service + "/" + std::to_string(stable_hash(key) % BUCKETS_PER_SERVICE);
}

ClaimState state_for(Verdict verdict) {
    switch (verdict) {
        case Verdict::not_run:
            return ClaimState::not_run;
        case Verdict::ran:
            return ClaimState::ran;
        case Verdict::may_have_run:
            return ClaimState::may_have_run;
    }
    return ClaimState::may_have_run;
}

Verdict verdict_for(ClaimState state) {
    switch (state) {
        case ClaimState::not_run:
            return Verdict::not_run;
        case ClaimState::ran:
            return Verdict::ran;
        case ClaimState::claimed:
        case ClaimState::may_have_run:
            return Verdict::may_have_run;
    }
    return Verdict::may_have_run;
}

}  // namespace ebonymount
