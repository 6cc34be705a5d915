// Reports that a store has lost by its return from an older copy, and those that it has again.
#include <catch2/catch.hpp>

#include "policy/lost_reports.h"
#include "policy/store_return.h"

namespace ebonymount {
namespace {

const Time START = Time{} + from_ms(1000000);

using Names = std::vector<std::string>;

}  // namespace

// Guards against crash reports that nobody writes again: nodes that are added know nothing of the
// request, which crashes more targets there (BUDGET).
TEST_CASE("lost reports are due at once at their writer, and later at all others") {
    Random random(1);
    LostReports reports;
    on_return(reports, {{"own", true}, {"kept", true}, {"other", false}}, {"kept"}, random, START);
    CHECK(is_lost(reports, "own"));
    CHECK(is_lost(reports, "other"));
    CHECK_FALSE(is_lost(reports, "kept"));
    CHECK(take_due(reports, START) == Names{"own"});
    CHECK(take_due(reports, START + REWRITE_TIME - from_ms(1)).empty());
    CHECK(take_due(reports, START + 2 * REWRITE_TIME) == Names{"other"});
    CHECK(take_due(reports, START + 2 * REWRITE_TIME).empty());
}

TEST_CASE("a report that another node has written again is not written twice") {
    Random random(1);
    LostReports reports;
    on_return(reports, {{"other", false}}, {}, random, START);
    on_written(reports, "other");
    CHECK(take_due(reports, START + 2 * REWRITE_TIME).empty());
}

// Guards against all nodes of a fleet that write the same report at the same moment.
TEST_CASE("nodes write the reports of a writer that is gone at different times") {
    Random random(7);
    std::set<Time> times;
    for (int node = 0; node < 300; ++node) {
        LostReports reports;
        on_return(reports, {{"other", false}}, {}, random, START);
        times.insert(reports.due.at("other"));
    }
    CHECK(times.size() > 290);
    CHECK(*times.begin() >= START + REWRITE_TIME);
    CHECK(*times.rbegin() <= START + 2 * REWRITE_TIME);
}

// Guards against a request that is refused again although its crashes were refuted.
TEST_CASE("a withdrawn report is remembered for longer than a copy is old") {
    Random random(1);
    LostReports reports;
    on_return(reports, {{"other", false}}, {}, random, START);
    on_withdrawn(reports, "other", START);
    CHECK(take_due(reports, START + WITHDRAWAL_MEMORY).empty());
    CHECK(is_withdrawn(reports, "other"));
    take_due(reports, START + WITHDRAWAL_MEMORY + from_ms(1));
    CHECK_FALSE(is_withdrawn(reports, "other"));
}

// Guards against two returns in a row, of which the second loses what was written after the first.
TEST_CASE("what a second return loses is due again") {
    Random random(1);
    LostReports reports;
    on_return(reports, {{"own", true}}, {}, random, START);
    CHECK(take_due(reports, START) == Names{"own"});
    on_return(reports, {{"own", true}}, {}, random, START + from_ms(2000));
    CHECK(take_due(reports, START + from_ms(2000)) == Names{"own"});
}

}  // namespace ebonymount
