// Idempotency records: one winner per key, repeats, keys whose request did not run, retention.
#include <catch2/catch.hpp>

#include "io/documents.h"
#include "policy/idempotency.h"

using namespace ebonymount;

namespace {

IdempotencyBatch claim_batch(const std::string& key, const std::string& claimant,
                             std::uint64_t fingerprint = 7) {
    IdempotencyBatch batch;
    batch.claims.push_back({key, fingerprint, claimant});
    return batch;
}

IdempotencyBatch update_batch(const std::string& key, const std::string& claimant,
                              IdempotencyState state, const std::string& result = "") {
    IdempotencyBatch batch;
    batch.updates.push_back({key, claimant, state, result});
    return batch;
}

}  // namespace

TEST_CASE("the first claimant of a key wins, and finds its own record again") {
    const IdempotencyBatchResult first = apply_batch({}, claim_batch("k", "a"), 100);
    REQUIRE(first.decisions.at(0).outcome == ClaimOutcome::granted);
    CHECK(first.changed);
    const IdempotencyBatchResult second = apply_batch(first.bucket, claim_batch("k", "b"), 100);
    CHECK(second.decisions.at(0).outcome == ClaimOutcome::repeated);
    CHECK_FALSE(second.changed);
    const IdempotencyBatchResult again = apply_batch(first.bucket, claim_batch("k", "a"), 100);
    CHECK(again.decisions.at(0).outcome == ClaimOutcome::granted);
    CHECK_FALSE(again.changed);
}

TEST_CASE("of two claims of one key in one batch, one wins") {
    IdempotencyBatch batch = claim_batch("k", "a");
    batch.claims.push_back({"k", 7, "b"});
    const IdempotencyBatchResult result = apply_batch({}, batch, 100);
    CHECK(result.decisions.at(0).outcome == ClaimOutcome::granted);
    CHECK(result.decisions.at(1).outcome == ClaimOutcome::repeated);
}

TEST_CASE("a key can be claimed again only if its request did not run") {
    const IdempotencyBucket claimed = apply_batch({}, claim_batch("k", "a"), 100).bucket;
    for (const IdempotencyState state : {IdempotencyState::ran, IdempotencyState::may_have_run}) {
        const IdempotencyBucket ended =
            apply_batch(claimed, update_batch("k", "a", state, "r"), 100).bucket;
        const ClaimDecision decision =
            apply_batch(ended, claim_batch("k", "b"), 100).decisions.at(0);
        CHECK(decision.outcome == ClaimOutcome::repeated);
        CHECK(decision.record.result == "r");
    }
    const IdempotencyBucket free =
        apply_batch(claimed, update_batch("k", "a", IdempotencyState::not_run), 100).bucket;
    CHECK(apply_batch(free, claim_batch("k", "b"), 100).decisions.at(0).outcome ==
          ClaimOutcome::granted);
}

TEST_CASE("an update from a node other than the claimant is ignored") {
    const IdempotencyBucket claimed = apply_batch({}, claim_batch("k", "a"), 100).bucket;
    const IdempotencyBatchResult result =
        apply_batch(claimed, update_batch("k", "b", IdempotencyState::not_run), 100);
    CHECK_FALSE(result.changed);
    CHECK(result.bucket == claimed);
}

TEST_CASE("a key that was used for another request is refused") {
    const IdempotencyBucket claimed = apply_batch({}, claim_batch("k", "a", 1), 100).bucket;
    CHECK(apply_batch(claimed, claim_batch("k", "b", 2), 100).decisions.at(0).outcome ==
          ClaimOutcome::other_request);
}

TEST_CASE("records are dropped only after their retention") {
    const IdempotencyBucket claimed = apply_batch({}, claim_batch("k", "a"), 100).bucket;
    IdempotencyBatch batch;
    batch.retention_s = 50;
    CHECK(apply_batch(claimed, batch, 150).bucket.size() == 1);
    CHECK(apply_batch(claimed, batch, 151).bucket.empty());
}

TEST_CASE("a batch of outcomes drops no record, however old, as it knows no retention") {
    // A booking whose key is kept for 30 days could otherwise run again after one day.
    const IdempotencyBucket claimed = apply_batch({}, claim_batch("k", "a"), 100).bucket;
    constexpr std::int64_t TEN_DAYS_S = 864000;
    const IdempotencyBatch outcome = update_batch("other", "b", IdempotencyState::ran, "{}");
    CHECK(apply_batch(claimed, outcome, 100 + TEN_DAYS_S).bucket.size() == 1);
}

TEST_CASE("a bucket is unchanged after encoding and decoding") {
    IdempotencyBucket bucket = apply_batch({}, claim_batch("k \"1\"", "a"), 100).bucket;
    bucket["k2"] = {9, "b", IdempotencyState::ran, 5, "{\"x\":1}"};
    const Result<IdempotencyBucket> read = idempotency_bucket_from(to_document(bucket));
    REQUIRE(has_value(read));
    CHECK(value_of(read) == bucket);
}
