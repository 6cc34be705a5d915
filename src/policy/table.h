// The operators' table: one row per service, one column per weight or limit.
//
// `columns()` is the only definition of each column's name, unit, bounds and what it protects;
// parsing, checks, output, differences and CSV all iterate over it. A table is an immutable value:
// a change makes a new one with the next generation.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"

namespace ebonymount {

/// Limits and weights of one service; `columns()` says what each value protects. Names end with the
/// unit where there is one; permille means thousandths.
struct ServiceRow {
    std::string service;
    std::int64_t slots = 2;
    std::int64_t connections = 25;
    std::int64_t cold_limit = 1;
    std::int64_t cold_rate_per_s = 20;
    std::int64_t ramp_successes = 10;
    std::int64_t ramp_stage_ms = 200;
    std::int64_t soft_deadline_ms = 45;
    std::int64_t hard_deadline_ms = 200;
    std::int64_t enough_coverage_permille = 900;
    std::int64_t hedge_quantile_permille = 960;
    std::int64_t extra_load_permille = 50;
    std::int64_t attempts_per_shard = 4;
    std::int64_t suspect_ttl_s = 300;
    std::int64_t key_retention_s = 86400;
    std::int64_t trace_permille = 10;
    /// Why a cell of this row has its value, by column name; without an entry, the column's text
    /// applies.
    std::map<std::string, std::string> reasons;

    friend bool operator==(const ServiceRow&, const ServiceRow&) = default;
};

/// Number of connections to a target that cancellations may use, in addition to one connection for
/// each slot.
constexpr std::int64_t CANCEL_CONNECTIONS = 4;

/// One column of the table.
struct Column {
    std::string name;
    std::string unit;
    /// What the value protects, as a text for operators.
    std::string protects;
    /// Allowed range, inclusive.
    std::int64_t min_value = 0;
    std::int64_t max_value = 0;
    std::int64_t ServiceRow::*member = nullptr;
};

/// All columns, in display order.
const std::vector<Column>& columns();

/// The column with that name, or null.
const Column* find_column(const std::string& name);

/// What the cell protects: the row's own reason if there is one, otherwise the column's text.
const std::string& protection_of(const ServiceRow& row, const Column& column);

/// The accepted configuration of one generation.
struct Configuration {
    std::int64_t generation = 0;
    std::vector<ServiceRow> rows;
    std::vector<std::string> out_of_service_data_centres;
    std::vector<std::string> out_of_service_hosts;
    std::int64_t groups_per_data_centre = 2;
    /// Identifiers of the latest operations included in this generation that took something out of
    /// service or returned it to service.
    std::vector<std::string> applied_operations;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// The row of a service, or null.
const ServiceRow* find_row(const Configuration& configuration, const std::string& service);

/// Checks every cell and the relations between cells; the error names row and column.
Result<Done> check_configuration(const Configuration& configuration);

/// One changed cell or list entry between two configurations.
struct Change {
    /// Path of the cell or entry, such as "catalogue.slots" or "host.NAME".
    std::string where;
    std::string before;
    std::string after;

    friend bool operator==(const Change&, const Change&) = default;
};

/// All differences between two configurations except the generation.
std::vector<Change> changes_between(const Configuration& before, const Configuration& after);

}  // namespace ebonymount
