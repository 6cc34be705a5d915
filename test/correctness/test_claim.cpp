// Idempotency records: one winner per key, repeats, keys that did not run, retention.
#include <catch2/catch.hpp>

#include "io/documents.h"
#include "policy/claim.h"

using namespace ebonymount;

namespace {

ClaimBatch claim_batch(const std::string& key, const std::string& claimant,
                       std::uint64_t fingerprint = 7) {
    ClaimBatch batch;
    batch.requests.push_back({key, fingerprint, claimant});
    return batch;
}

ClaimBatch update_batch(const std::string& key, const std::string& claimant, ClaimState state,
                        const std::string& result = "") {
    ClaimBatch batch;
    batch.updates.push_back({key, claimant, state, result});
    return batch;
}

}  // namespace

TEST_CASE("the first claimant of a key wins, and finds its own record again") {
    const ClaimResult first = apply_batch({}, claim_batch("k", "a"), 100);
    REQUIRE(first.decisions.at(0).answer == ClaimAnswer::granted);
    CHECK(first.changed);
    const ClaimResult second = apply_batch(first.bucket, claim_batch("k", "b"), 100);
    CHECK(second.decisions.at(0).answer == ClaimAnswer::repeated);
    CHECK_FALSE(second.changed);
    const ClaimResult again = apply_batch(first.bucket, claim_batch("k", "a"), 100);
    CHECK(again.decisions.at(0).answer == ClaimAnswer::granted);
    CHECK_FALSE(again.changed);
}

TEST_CASE("of two claims of one key in one batch, one wins") {
    ClaimBatch batch = claim_batch("k", "a");
    batch.requests.push_back({"k", 7, "b"});
    const ClaimResult result = apply_batch({}, batch, 100);
    CHECK(result.decisions.at(0).answer == ClaimAnswer::granted);
    CHECK(result.decisions.at(1).answer == ClaimAnswer::repeated);
}

TEST_CASE("a key can be claimed again only if its request did not run") {
    const ClaimBucket claimed = apply_batch({}, claim_batch("k", "a"), 100).bucket;
    for (const ClaimState state : {ClaimState::ran, ClaimState::may_have_run}) {
        const ClaimBucket ended =
            apply_batch(claimed, update_batch("k", "a", state, "r"), 100).bucket;
        const ClaimDecision decision =
            apply_batch(ended, claim_batch("k", "b"), 100).decisions.at(0);
        CHECK(decision.answer == ClaimAnswer::repeated);
        CHECK(decision.record.result == "r");
    }
    const ClaimBucket free =
        apply_batch(claimed, update_batch("k", "a", ClaimState::not_run), 100).bucket;
    CHECK(apply_batch(free, claim_batch("k", "b"), 100).decisions.at(0).answer ==
          ClaimAnswer::granted);
}

TEST_CASE("an update from a node other than the claimant is ignored") {
    const ClaimBucket claimed = apply_batch({}, claim_batch("k", "a"), 100).bucket;
    const ClaimResult result =
        apply_batch(claimed, update_batch("k", "b", ClaimState::not_run), 100);
    CHECK_FALSE(result.changed);
    CHECK(result.bucket == claimed);
}

TEST_CASE("a key that was used for another request is refused") {
    const ClaimBucket claimed = apply_batch({}, claim_batch("k", "a", 1), 100).bucket;
    CHECK(apply_batch(claimed, claim_batch("k", "b", 2), 100).decisions.at(0).answer ==
          ClaimAnswer::other_request);
}

TEST_CASE("records are dropped only after their retention") {
    const ClaimBucket claimed = apply_batch({}, claim_batch("k", "a"), 100).bucket;
    ClaimBatch batch;
    batch.retention_s = 50;
    CHECK(apply_batch(claimed, batch, 150).bucket.size() == 1);
    CHECK(apply_batch(claimed, batch, 151).bucket.empty());
}

TEST_CASE("a bucket is unchanged after encoding and decoding") {
    ClaimBucket bucket = apply_batch({}, claim_batch("k \"1\"", "a"), 100).bucket;
    bucket["k2"] = {9, "b", ClaimState::ran, 5, "{\"x\":1}"};
    const Result<ClaimBucket> read = claim_bucket_from(to_document(bucket));
    REQUIRE(has_value(read));
    CHECK(value_of(read) == bucket);
}
