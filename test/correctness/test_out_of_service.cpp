// Data centres out of service, as lists and changes of the store and its returns leave them.
#include <catch2/catch.hpp>

#include "policy/out_of_service.h"
#include "policy/store_return.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

using Names = std::set<std::string>;

}  // namespace

TEST_CASE("a list replaces what was out of service before") {
    OutOfService state;
    take_out(state, "east");
    replace_all(state, {"west"}, false, START);
    CHECK(state.data_centres == Names{"west"});
    put_back(state, "west");
    CHECK(state.data_centres.empty());
}

// Guards against requests to a data centre that operators have taken out of service, because the
// store has returned from a copy that is older than that (EVAC).
TEST_CASE("a data centre that an older copy does not name stays out until it could be rewritten") {
    OutOfService state;
    take_out(state, "east");
    replace_all(state, {"west"}, true, START);
    CHECK(state.data_centres == Names{"east", "west"});
    replace_all(state, {"west"}, false, START + from_ms(3000));
    CHECK(expire_unconfirmed(state, START + OPERATOR_REWRITE_TIME - from_ms(1)).empty());
    CHECK(state.data_centres == Names{"east", "west"});

    SECTION("nobody writes it again") {
        CHECK(expire_unconfirmed(state, START + OPERATOR_REWRITE_TIME) ==
              std::vector<std::string>{"east"});
        CHECK(state.data_centres == Names{"west"});
    }
    SECTION("operators write it again") {
        take_out(state, "east");
        CHECK(expire_unconfirmed(state, START + OPERATOR_REWRITE_TIME).empty());
        CHECK(state.data_centres == Names{"east", "west"});
    }
    SECTION("operators put it back into service") {
        put_back(state, "east");
        CHECK(state.data_centres == Names{"west"});
    }
}

// Guards against a node without memory that sends requests to such a data centre (EVAC).
TEST_CASE("a data centre that another node knows to be out of service stays out as long as there") {
    OutOfService state;
    replace_all(state, {"west"}, false, START);
    const Time until = START + from_ms(12000);
    keep_out(state, "east", until);
    keep_out(state, "west", until);
    CHECK(state.data_centres == Names{"east", "west"});
    CHECK(expire_unconfirmed(state, until - from_ms(1)).empty());
    CHECK(expire_unconfirmed(state, until) == std::vector<std::string>{"east"});
    CHECK(state.data_centres == Names{"west"});
}

// Guards against two returns in a row, of which the second begins before the first is dealt with.
TEST_CASE("a second return gives operators as much time as the first one") {
    OutOfService state;
    take_out(state, "east");
    replace_all(state, {}, true, START);
    replace_all(state, {}, true, START + from_ms(4000));
    CHECK(expire_unconfirmed(state, START + from_ms(4000) + OPERATOR_REWRITE_TIME - from_ms(1))
              .empty());
    CHECK(expire_unconfirmed(state, START + from_ms(4000) + OPERATOR_REWRITE_TIME).size() == 1);
}

}  // namespace ebonymount
