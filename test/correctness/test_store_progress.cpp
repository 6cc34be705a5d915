// What is known of the age of data from the revisions that calls to the store return.
#include <catch2/catch.hpp>

#include "policy/store_progress.h"

namespace ebonymount {
namespace {

const Time NOW = Time(from_ms(1000000));

Time at(std::int64_t ms) {
    return NOW + from_ms(ms);
}

/// Current reads that are answered at once: revision and time.
StoreProgress progress_of(const std::vector<std::pair<std::int64_t, std::int64_t>>& reads) {
    StoreProgress progress;
    for (const auto& [revision, ms] : reads) {
        on_current_read(progress, {1, revision}, at(ms), at(ms));
    }
    return progress;
}

}  // namespace

TEST_CASE("data is complete until the last current read that showed nothing newer") {
    const StoreProgress progress = progress_of({{5, 0}, {5, 100}, {8, 200}, {9, 300}});
    CHECK(proven_until(progress, {1, 4}) == Time{});
    CHECK(proven_until(progress, {1, 5}) == at(100));
    CHECK(proven_until(progress, {1, 7}) == at(100));
    CHECK(proven_until(progress, {1, 8}) == at(200));
    CHECK(proven_until(progress, {1, 12}) == at(300));
    CHECK(proven_until(StoreProgress{}, {1, 5}) == Time{});
}

// Guards against a response that is read late, which shows the store as it was before.
TEST_CASE("a current read proves nothing about the time after it was answered") {
    StoreProgress progress;
    on_current_read(progress, {1, 5}, at(100), at(900));
    on_current_read(progress, {1, 5}, at(50), at(950));
    CHECK(proven_until(progress, {1, 5}) == at(100));
}

// Guards against proofs, which cost calls, of data that nothing has changed since.
TEST_CASE("data is not overdue while the store has not moved on, however long that is") {
    const StoreProgress progress = progress_of({{5, 0}});
    CHECK_FALSE(is_overdue(progress, {1, 5}, from_ms(100), at(1000000)));
    CHECK_FALSE(is_overdue(progress, {1, 6}, from_ms(100), at(1000000)));
    CHECK_FALSE(is_overdue(StoreProgress{}, {1, 5}, from_ms(100), at(1000000)));
}

// Guards against lag that counts from the moment at which it was noticed: the change that data
// lacks may be as old as the last proof.
TEST_CASE("data is overdue from the last proof, not from the first read that shows a change") {
    const StoreProgress progress = progress_of({{5, 0}, {6, 2400}});
    CHECK_FALSE(is_overdue(progress, {1, 5}, from_ms(2500), at(2400)));
    CHECK(is_overdue(progress, {1, 5}, from_ms(2400), at(2400)));
    CHECK_FALSE(is_overdue(progress, {1, 6}, from_ms(2400), at(1000000)));
}

TEST_CASE("data of a revision that was never seen is overdue once the store has moved on") {
    CHECK(is_overdue(progress_of({{9, 0}}), {1, 5}, from_ms(2400), at(0)));
}

TEST_CASE("the lag of data is at least the time since a newer revision was first seen") {
    const StoreProgress progress = progress_of({{5, 0}, {7, 100}, {7, 300}});
    CHECK(lag_of(progress, {1, 7}, at(1000)) == Duration::zero());
    CHECK(lag_of(progress, {1, 5}, at(1000)) == from_ms(900));
}

TEST_CASE("data of an earlier era is overdue, and data without an era is compared by revisions") {
    StoreProgress progress = progress_of({{9, 0}});
    on_current_read(progress, {2, 4}, at(100), at(100));
    CHECK(is_overdue(progress, {1, 9}, from_ms(100), at(100)));
    CHECK_FALSE(is_overdue(progress, {2, 4}, from_ms(100), at(1000)));
    CHECK_FALSE(is_overdue(progress, {UNKNOWN_ERA, 4}, from_ms(100), at(1000)));
    CHECK(is_overdue(progress, {UNKNOWN_ERA, 3}, from_ms(100), at(1000)));
}

// Guards against records that grow for as long as a node runs.
TEST_CASE("old revisions are forgotten, the newest is kept") {
    StoreProgress progress;
    for (std::int64_t second = 0; second < 1000; ++second) {
        on_current_read(progress, {1, second}, at(second * 1000), at(second * 1000));
    }
    CHECK(progress.seen.size() < 100);
    CHECK(progress.newest_until.size() < 100);
    CHECK(proven_until(progress, {1, 999}) == at(999000));
}

}  // namespace ebonymount
