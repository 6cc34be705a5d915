// The table: bounds of cells, relations between cells, differences, CSV.
#include <catch2/catch.hpp>

#include "admin/table_csv.h"
#include "io/documents.h"
#include "policy/table.h"

using namespace ebonymount;

namespace {

Configuration one_row() {
    Configuration configuration;
    configuration.generation = 3;
    configuration.rows.emplace_back();
    configuration.rows.back().service = "catalogue";
    return configuration;
}

}  // namespace

TEST_CASE("every column has a unit and says what it protects; its default is within its bounds") {
    for (const Column& column : columns()) {
        const std::int64_t value = ServiceRow{}.*column.member;
        CHECK_FALSE(column.protects.empty());
        CHECK_FALSE(column.unit.empty());
        CHECK(value >= column.min_value);
        CHECK(value <= column.max_value);
    }
    CHECK(has_value(check_configuration(one_row())));
}

TEST_CASE("a cell above its bound is refused, and the error names the cell and its value") {
    for (const Column& column : columns()) {
        Configuration configuration = one_row();
        configuration.rows[0].*column.member = column.max_value + 1;
        const Result<Done> checked = check_configuration(configuration);
        REQUIRE_FALSE(has_value(checked));
        CHECK(error_of(checked).offender == "catalogue." + column.name);
        CHECK(error_of(checked).message.find(std::to_string(column.max_value + 1)) !=
              std::string::npos);
    }
}

TEST_CASE("contradictory cells and two rows for one service are refused") {
    Configuration configuration = one_row();
    configuration.rows[0].soft_deadline_ms = 300;
    CHECK(error_of(check_configuration(configuration)).offender == "catalogue.soft_deadline_ms");
    configuration = one_row();
    configuration.rows[0].cold_limit = 3;
    CHECK(error_of(check_configuration(configuration)).offender == "catalogue.cold_limit");
    configuration = one_row();
    configuration.rows[0].connections = 5;
    CHECK(error_of(check_configuration(configuration)).offender == "catalogue.slots");
    configuration = one_row();
    configuration.rows.push_back(configuration.rows[0]);
    CHECK(error_of(check_configuration(configuration)).offender == "catalogue");
}

TEST_CASE("differences name each changed cell, reason and list entry") {
    const Configuration before = one_row();
    Configuration after = before;
    after.rows[0].slots = 4;
    after.rows[0].reasons["slots"] = "the new searchers";
    after.out_of_service_data_centres = {"west"};
    const std::vector<Change> changes = changes_between(before, after);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0] == Change{"catalogue.slots", "2", "4"});
    CHECK(changes[1].where == "catalogue.slots.protects");
    CHECK(changes[2] == Change{"data_centre.west", "in", "out"});
    CHECK(changes_between(before, before).empty());
}

TEST_CASE("a configuration is unchanged after encoding and decoding") {
    Configuration configuration = one_row();
    configuration.rows[0].reasons["slots"] = "a, \"quoted\" reason";
    configuration.out_of_service_hosts = {"h1"};
    configuration.applied_operations = {"op"};
    const Result<Configuration> read = configuration_from(to_document(configuration));
    REQUIRE(has_value(read));
    CHECK(value_of(read) == configuration);
}

TEST_CASE("a table is unchanged after export to CSV and import, and errors name the bad line") {
    Configuration configuration = one_row();
    configuration.rows[0].reasons["slots"] = "a, \"quoted\"\nreason";
    const std::string text = table_to_csv(configuration.rows);
    const Result<std::vector<ServiceRow>> read = table_from_csv(text);
    REQUIRE(has_value(read));
    CHECK(value_of(read) == configuration.rows);
    const std::string header = "service,column,value,unit,protects\n";
    CHECK(error_of(table_from_csv("")).message.find("line 1") == 0);
    CHECK(error_of(table_from_csv(header + "a,slots,2,requests\n")).message.find("line 2") == 0);
    CHECK(error_of(table_from_csv(header + "a,slotz,2,requests,x\n")).offender == "slotz");
    CHECK(error_of(table_from_csv(header + "a,slots,two,requests,x\n")).offender == "two");
    CHECK(error_of(table_from_csv(header + "a,slots,2,ms,x\n")).offender == "ms");
}
