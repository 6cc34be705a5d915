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
    CHECK(complete_at(frequent, {}) == NOW);
    CHECK(complete_at(frequent, {waiting}) == NOW);
    CHECK(complete_at(frequent, {waiting, failing}) == failing.complete_at);
    CHECK(complete_at(frequent, {waiting, unread}) == Time{});
    CHECK(complete_at(unread, {waiting}) == Time{});
}

}  // namespace ebonymount
