// The store's era, as responses state it, late, wrong or not at all.
#include <catch2/catch.hpp>

#include "policy/store_era.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

}  // namespace

TEST_CASE("a risen era is a return, an earlier one is out of date") {
    StoreEra era;
    CHECK(on_stated_era(era, UNKNOWN_ERA, true, START) == EraChange::none);
    CHECK(on_stated_era(era, 7, true, START) == EraChange::learned);
    CHECK(on_stated_era(era, 7, false, START) == EraChange::none);
    CHECK(on_stated_era(era, 8, false, START) == EraChange::returned);
    CHECK(on_stated_era(era, 7, true, START) == EraChange::earlier);
    CHECK(on_stated_era(era, 7, false, START) == EraChange::earlier);
    CHECK(on_stated_era(era, UNKNOWN_ERA, true, START) == EraChange::none);
    CHECK(on_stated_era(era, 11, true, START) == EraChange::returned);
    CHECK(era.known == 11);
}

// Guards against a node that refuses all responses for ever because one stated a number that is
// too high.
TEST_CASE("a number that no series of returns reaches is no era") {
    StoreEra era;
    on_stated_era(era, 7, true, START);
    CHECK(on_stated_era(era, MAX_ERA, true, START) == EraChange::ignored);
    CHECK(on_stated_era(era, 7 + MAX_ERA_RISE + 1, true, START) == EraChange::ignored);
    CHECK(era.known == 7);
    CHECK(on_stated_era(era, 7 + MAX_ERA_RISE, true, START) == EraChange::returned);
}

// Guards against the same where the first response, or one a little too high, was wrong, and
// against a store that was set up anew.
TEST_CASE("an earlier era that all current reads state for long enough is the store's") {
    StoreEra era;
    on_stated_era(era, MAX_ERA, true, START);
    CHECK(on_stated_era(era, 3, true, START) == EraChange::earlier);
    CHECK(on_stated_era(era, 3, true, START + ERA_CORRECTION_TIME - from_ms(1)) ==
          EraChange::earlier);
    CHECK(on_stated_era(era, 3, true, START + ERA_CORRECTION_TIME) == EraChange::corrected);
    CHECK(era.known == 3);
    CHECK(on_stated_era(era, 3, true, START + ERA_CORRECTION_TIME) == EraChange::none);
}

TEST_CASE("late responses, and eras that change, correct nothing") {
    StoreEra era;
    on_stated_era(era, 9, true, START);
    on_stated_era(era, 8, true, START);
    // The store answers in its era meanwhile.
    on_stated_era(era, 9, true, START + from_ms(10000));
    CHECK(on_stated_era(era, 8, true, START + ERA_CORRECTION_TIME) == EraChange::earlier);
    CHECK(on_stated_era(era, 7, true, START + 2 * ERA_CORRECTION_TIME) == EraChange::earlier);
    CHECK(on_stated_era(era, 7, false, START + 4 * ERA_CORRECTION_TIME) == EraChange::earlier);
    CHECK(era.known == 9);
}

}  // namespace ebonymount
