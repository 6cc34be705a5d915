// Claims: one winner per key, repeats, withdrawals, retention.
#include <catch2/catch.hpp>

#include "io/documents.h"
#include "policy/idempotency.h"

using namespace ebonymount;

namespace {

IdempotencyBatch asking(const std::string& key, const std::string& claimant,
                        std::uint64_t fingerprint = 7) {
    IdempotencyBatch batch;
    batch.requests.push_back({key, fingerprint, claimant});
    return batch;
}

IdempotencyBatch telling(const std::string& key, const std::string& claimant,
                         IdempotencyState state, const std::string& result = "") {
    IdempotencyBatch batch;
    batch.updates.push_back({key, claimant, state, result});
    return batch;
}

}  // namespace

TEST_CASE("the first claimant of a key wins, and finds its own claim again") {
    const IdempotencyBatchResult first = apply_batch({}, asking("k", "a"), 100);
    REQUIRE(first.decisions.at(0).answer == ClaimOutcome::granted);
    CHECK(first.changed);
    const IdempotencyBatchResult second = apply_batch(first.bucket, asking("k", "b"), 100);
    CHECK(second.decisions.at(0).answer == ClaimOutcome::repeated);
    CHECK_FALSE(second.changed);
    const IdempotencyBatchResult again = apply_batch(first.bucket, asking("k", "a"), 100);
    CHECK(again.decisions.at(0).answer == ClaimOutcome::granted);
    CHECK_FALSE(again.changed);
}

TEST_CASE("two requests for one key in one batch give one winner") {
    IdempotencyBatch batch = asking("k", "a");
    batch.requests.push_back({"k", 7, "b"});
    const IdempotencyBatchResult result = apply_batch({}, batch, 100);
    CHECK(result.decisions.at(0).answer == ClaimOutcome::granted);
    CHECK(result.decisions.at(1).answer == ClaimOutcome::repeated);
}

TEST_CASE("a key that did not run can be claimed again, any other cannot") {
    const IdempotencyBucket claimed = apply_batch({}, asking("k", "a"), 100).bucket;
    for (const IdempotencyState state : {IdempotencyState::ran, IdempotencyState::may_have_run}) {
        const IdempotencyBucket ended =
            apply_batch(claimed, telling("k", "a", state, "r"), 100).bucket;
        const ClaimDecision decision = apply_batch(ended, asking("k", "b"), 100).decisions.at(0);
        CHECK(decision.answer == ClaimOutcome::repeated);
        CHECK(decision.record.result == "r");
    }
    const IdempotencyBucket free =
        apply_batch(claimed, telling("k", "a", IdempotencyState::not_run), 100).bucket;
    CHECK(apply_batch(free, asking("k", "b"), 100).decisions.at(0).answer == ClaimOutcome::granted);
}

TEST_CASE("an outcome from anybody but the claimant is ignored") {
    const IdempotencyBucket claimed = apply_batch({}, asking("k", "a"), 100).bucket;
    const IdempotencyBatchResult result =
        apply_batch(claimed, telling("k", "b", IdempotencyState::not_run), 100);
    CHECK_FALSE(result.changed);
    CHECK(result.bucket == claimed);
}

TEST_CASE("a key used for another request is refused") {
    const IdempotencyBucket claimed = apply_batch({}, asking("k", "a", 1), 100).bucket;
    CHECK(apply_batch(claimed, asking("k", "b", 2), 100).decisions.at(0).answer ==
          ClaimOutcome::other_request);
}

TEST_CASE("records are dropped after their retention only") {
    const IdempotencyBucket claimed = apply_batch({}, asking("k", "a"), 100).bucket;
    IdempotencyBatch batch;
    batch.retention_s = 50;
    CHECK(apply_batch(claimed, batch, 150).bucket.size() == 1);
    CHECK(apply_batch(claimed, batch, 151).bucket.empty());
}

TEST_CASE("a bucket survives its document") {
    IdempotencyBucket bucket = apply_batch({}, asking("k \"1\"", "a"), 100).bucket;
    bucket["k2"] = {9, "b", IdempotencyState::ran, 5, "{\"x\":1}"};
    const Result<IdempotencyBucket> read = idempotency_bucket_from(to_document(bucket));
    REQUIRE(has_value(read));
    CHECK(value_of(read) == bucket);
}
