// The nodes that share the fleet's limits, as lists of the store and its returns leave them.
#include <catch2/catch.hpp>

#include "policy/known_nodes.h"
#include "policy/store_return.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);
const Member FIRST = {"a", "east", "127.0.0.1:1"};
const Member SECOND = {"b", "west", "127.0.0.1:2"};

}  // namespace

TEST_CASE("a list of nodes replaces the one before it") {
    KnownNodes nodes;
    replace_all(nodes, {FIRST, SECOND}, false, START);
    replace_all(nodes, {SECOND}, false, START);
    CHECK(nodes.members == std::map<std::string, Member>{{"b", SECOND}});
}

// Guards against a node that takes the shares of all others for its own, because a copy of the
// store does not know them yet (BUDGET, FAILBACK).
TEST_CASE("nodes that an older copy does not name stay known until they could register again") {
    KnownNodes nodes;
    replace_all(nodes, {FIRST, SECOND}, false, START);
    Member moved = FIRST;
    moved.address = "127.0.0.1:9";
    replace_all(nodes, {moved}, true, START);
    CHECK(nodes.members == std::map<std::string, Member>{{"a", moved}, {"b", SECOND}});
    replace_all(nodes, {}, false, START + REWRITE_TIME - from_ms(1));
    CHECK(nodes.members.size() == 2);
    replace_all(nodes, {FIRST}, false, START + REWRITE_TIME);
    CHECK(nodes.members == std::map<std::string, Member>{{"a", FIRST}});
}

}  // namespace ebonymount
