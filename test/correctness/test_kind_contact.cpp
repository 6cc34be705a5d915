#include <catch2/catch.hpp>

#include "policy/kind_contact.h"

namespace ebonymount {
namespace {

const Time NOW = Time(from_ms(1000000));

}  // namespace

// Guards against one age for all kinds: a kind that has stopped must not be hidden by another.
TEST_CASE("data is as old as its oldest kind that fails or has not been read") {
    const KindContact frequent = {NOW, false};
    const KindContact waiting = {NOW - from_ms(3000), false};
    const KindContact failing = {NOW - from_ms(3000), true};
    const KindContact unread = {Time{}, false};
    CHECK(complete_at(frequent, {}, false) == NOW);
    CHECK(complete_at(frequent, {waiting}, false) == NOW);
    CHECK(complete_at(frequent, {waiting, failing}, false) == failing.complete_at);
    CHECK(complete_at(frequent, {waiting, unread}, false) == Time{});
    CHECK(complete_at(unread, {waiting}, false) == Time{});
}

// Guards against an age that followers have taken for true before the wait of a watch ends in a
// failure.
TEST_CASE("data that others rely on is not complete while a kind may still fail") {
    const KindContact frequent = {NOW, false};
    const KindContact waiting = {NOW - from_ms(700), false};
    CHECK(complete_at(frequent, {waiting}, true) == waiting.complete_at);
}

}  // namespace ebonymount
