// Which route a request matches, which service of a weighted route serves it, and how the responses
// of a fan-out are merged.
#include <catch2/catch.hpp>

#include "policy/record_merge.h"
#include "policy/route_table.h"

namespace ebonymount {
namespace {

RouteTable two_routes() {
    RouteTable table;
    Route broad;
    broad.name = "broad";
    broad.host = "show.example";
    broad.path_prefix = "/a/";
    Route narrow = broad;
    narrow.name = "narrow";
    narrow.path_prefix = "/a/b/";
    table.routes = {broad, narrow};
    return table;
}

}  // namespace

TEST_CASE("the longest matching path prefix wins") {
    const RouteTable table = two_routes();
    CHECK(match_route(table, "show.example", "/a/b/c") == 1);
    CHECK(match_route(table, "show.example", "/a/bc") == 0);
    CHECK(match_route(table, "show.example", "/a/b") == 0);
    CHECK(match_route(table, "show.example", "/ab/") == -1);
}

TEST_CASE("host names match regardless of case and port") {
    const RouteTable table = two_routes();
    CHECK(match_route(table, "Show.Example:8080", "/a/") == 0);
    CHECK(match_route(table, "other.example", "/a/") == -1);
    CHECK(match_route(table, "", "/a/") == -1);
}

TEST_CASE("the query string is not matched") {
    CHECK(match_route(two_routes(), "show.example", "/a/?x=/a/b/") == 0);
    CHECK(match_route(two_routes(), "show.example", "/?x=/a/") == -1);
}

TEST_CASE("services of a weighted route serve requests by their weights") {
    Route route;
    route.services = {{"one", 3.0}, {"none", 0.0}, {"two", 1.0}};
    CHECK(choose_service(route, 0.0) == 0);
    CHECK(choose_service(route, 0.74) == 0);
    CHECK(choose_service(route, 0.76) == 2);
    CHECK(choose_service(route, 0.999) == 2);
}

TEST_CASE("merging keeps the greatest records, including equal ones, in descending order") {
    const std::string low(RECORD_BYTES, 'a');
    const std::string high(RECORD_BYTES, 'z');
    const std::string top(RECORD_BYTES, '\xff');
    const std::string one = low + high;
    const std::string two = high + top + "a rest";
    CHECK(merge_records({one, two}, 3) == top + high + high);
    CHECK(merge_records({one, two}, 10) == top + high + high + low);
    CHECK(merge_records({}, 10).empty());
    CHECK(merge_records({"short"}, 10).empty());
}

// Guards against a version that is written again with another content after the store has lost it,
// and that the nodes which know the lost one ignore for ever.
TEST_CASE("the same version with another content is used only in a later era of the store") {
    RouteTable in_force;
    in_force.version = 7;
    RouteTable other = in_force;
    other.limits.max_body_bytes = 1;
    CHECK(compare_tables(in_force, 1, other, 2) == TableChange::rewritten);
    CHECK(compare_tables(in_force, 1, other, 1) == TableChange::same);
    CHECK(compare_tables(in_force, 2, other, 1) == TableChange::same);
    CHECK(compare_tables(in_force, 1, in_force, 2) == TableChange::same);
    other.version = 6;
    CHECK(compare_tables(in_force, 1, other, 2) == TableChange::older);
    other.version = 8;
    CHECK(compare_tables(in_force, 2, other, 2) == TableChange::newer);
}

}  // namespace ebonymount
