#include "policy/table.h"

#include <algorithm>
#include <set>

namespace ebonymount {
namespace {

std::vector<Column> make_columns() {
    return {
        {"slots", "requests", "a target from more work at once than it has slots for", 1, 64,
         &ServiceRow::slots},
        {"connections", "connections", "a target's cap on connections", 1, 1000,
         &ServiceRow::connections},
        {"cold_limit", "requests", "a cold target from more work at once than it can bear", 1, 64,
         &ServiceRow::cold_limit},
        {"cold_rate_per_s", "requests/s", "a cold target from falling over while it warms", 1,
         100000, &ServiceRow::cold_rate_per_s},
        {"ramp_successes", "requests", "a cold target from being called warm too early", 1, 10000,
         &ServiceRow::ramp_successes},
        {"ramp_stage_ms", "ms", "a cold target from a climb faster than its caches fill", 0, 600000,
         &ServiceRow::ramp_stage_ms},
        {"soft_deadline_ms", "ms", "a judge's or member's wait once coverage is enough", 1, 60000,
         &ServiceRow::soft_deadline_ms},
        {"hard_deadline_ms", "ms", "every caller from an answer that never comes", 1, 60000,
         &ServiceRow::hard_deadline_ms},
        {"enough_coverage_permille", "permille",
         "answers from missing records at the soft deadline", 0, 1000,
         &ServiceRow::enough_coverage_permille},
        {"hedge_quantile_permille", "permille",
         "tail latency from stragglers; 1000 turns hedges off", 500, 1000,
         &ServiceRow::hedge_quantile_permille},
        {"extra_load_permille", "permille", "targets from hedges and retries together", 0, 1000,
         &ServiceRow::extra_load_permille},
        {"attempts_per_shard", "attempts", "a shard from being asked without end", 1, 16,
         &ServiceRow::attempts_per_shard},
        {"suspect_ttl_s", "s", "targets from a request that crashed one", 1, 86400,
         &ServiceRow::suspect_ttl_s},
        {"key_retention_s", "s", "bookings and notices from running twice", 60, 2592000,
         &ServiceRow::key_retention_s},
        {"trace_permille", "permille", "hosts from the cost of too many traces", 0, 1000,
         &ServiceRow::trace_permille},
    };
}

Error cell_error(const ServiceRow& row, const Column& column, const std::string& allowed) {
    const std::string found = std::to_string(row.*column.member);
    return {
        ErrorCode::invalid_input,
        "service " + row.service + ": " + column.name + " is " + found + ", allowed is " + allowed,
        row.service + "." + column.name};
}

Result<Done> check_cells(const ServiceRow& row) {
    for (const Column& column : columns()) {
        const std::int64_t value = row.*column.member;
        if (value < column.min_value || value > column.max_value) {
            return cell_error(
                row, column,
                std::to_string(column.min_value) + " to " + std::to_string(column.max_value));
        }
    }
    return Done{};
}

Result<Done> check_relations(const ServiceRow& row) {
    if (row.soft_deadline_ms > row.hard_deadline_ms) {
        return cell_error(row, *find_column("soft_deadline_ms"), "at most hard_deadline_ms");
    }
    if (row.cold_limit > row.slots) {
        return cell_error(row, *find_column("cold_limit"), "at most slots");
    }
    if (row.slots + CANCEL_CONNECTIONS > row.connections) {
        return cell_error(row, *find_column("slots"),
                          "at most connections minus " + std::to_string(CANCEL_CONNECTIONS));
    }
    return Done{};
}

Result<Done> check_row(const ServiceRow& row) {
    if (row.service.empty()) {
        return Error{ErrorCode::invalid_input, "a row has no service name", "service"};
    }
    for (const auto& [name, reason] : row.reasons) {
        if (find_column(name) == nullptr) {
            return Error{ErrorCode::invalid_input,
                         "service " + row.service + " has a reason for an unknown column", name};
        }
    }
    const Result<Done> cells = check_cells(row);
    return has_value(cells) ? check_relations(row) : cells;
}

void add_row_changes(const ServiceRow& before, const ServiceRow& after,
                     std::vector<Change>& changes) {
    for (const Column& column : columns()) {
        const std::int64_t old_value = before.*column.member;
        const std::int64_t new_value = after.*column.member;
        if (old_value != new_value) {
            changes.push_back({after.service + "." + column.name, std::to_string(old_value),
                               std::to_string(new_value)});
        }
        const std::string& old_text = protection_of(before, column);
        const std::string& new_text = protection_of(after, column);
        if (old_text != new_text) {
            changes.push_back(
                {after.service + "." + column.name + ".protects", old_text, new_text});
        }
    }
}

void add_list_changes(const std::string& where, const std::vector<std::string>& before,
                      const std::vector<std::string>& after, std::vector<Change>& changes) {
    const std::set<std::string> old_names(before.begin(), before.end());
    const std::set<std::string> new_names(after.begin(), after.end());
    for (const std::string& name : old_names) {
        if (new_names.count(name) == 0) {
            changes.push_back({where + "." + name, "out", "in"});
        }
    }
    for (const std::string& name : new_names) {
        if (old_names.count(name) == 0) {
            changes.push_back({where + "." + name, "in", "out"});
        }
    }
}

}  // namespace

const std::vector<Column>& columns() {
    static const std::vector<Column> all = make_columns();
    return all;
}

const Column* find_column(const std::string& name) {
    for (const Column& column : columns()) {
        if (column.name == name) {
            return &column;
        }
    }
    return nullptr;
}

const std::string& protection_of(const ServiceRow& row, const Column& column) {
    const std::map<std::string, std::string>::const_iterator found = row.reasons.find(column.name);
    return found == row.reasons.end() ? column.protects : found->second;
}

const ServiceRow* find_row(const Configuration& configuration, const std::string& service) {
    for (const ServiceRow& row : configuration.rows) {
        if (row.service == service) {
            return &row;
        }
    }
    return nullptr;
}

Result<Done> check_configuration(const Configuration& configuration) {
    std::set<std::string> seen;
    for (const ServiceRow& row : configuration.rows) {
        const Result<Done> checked = check_row(row);
        if (!has_value(checked)) {
            return checked;
        }
        if (!seen.insert(row.service).second) {
            return Error{ErrorCode::invalid_input, "two rows for one service", row.service};
        }
    }
    if (configuration.groups_per_data_centre < 1 || configuration.groups_per_data_centre > 1000) {
        return Error{ErrorCode::invalid_input, "seats_per_data_centre is not within 1 to 1000",
                     std::to_string(configuration.groups_per_data_centre)};
    }
    return Done{};
}

std::vector<Change> changes_between(const Configuration& before, const Configuration& after) {
    std::vector<Change> changes;
    for (const ServiceRow& row : after.rows) {
        const ServiceRow* old_row = find_row(before, row.service);
        if (old_row == nullptr) {
            changes.push_back({row.service, "no row", "new row"});
        } else {
            add_row_changes(*old_row, row, changes);
        }
    }
    for (const ServiceRow& row : before.rows) {
        if (find_row(after, row.service) == nullptr) {
            changes.push_back({row.service, "row", "no row"});
        }
    }
    add_list_changes("data_centre", before.out_of_service_data_centres,
                     after.out_of_service_data_centres, changes);
    add_list_changes("host", before.out_of_service_hosts, after.out_of_service_hosts, changes);
    if (before.groups_per_data_centre != after.groups_per_data_centre) {
        changes.push_back({"seats_per_data_centre", std::to_string(before.groups_per_data_centre),
                           std::to_string(after.groups_per_data_centre)});
    }
    return changes;
}

}  // namespace ebonymount
