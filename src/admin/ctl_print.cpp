#include "admin/ctl_print.h"

#include <iomanip>
#include <map>

namespace ebonymount {
namespace {

constexpr int NAME_WIDTH = 16;
constexpr int COLUMN_WIDTH = 26;
constexpr int VALUE_WIDTH = 10;

std::string text_of(const Json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints spans with an indent by name: the gateway's span comes first, then for each attempt its
/// own, the relay's and the target's.
void print_spans(const Json& spans, std::ostream& output) {
    static const std::map<std::string, int> depths = {{"gateway", 0}, {"relay", 2}, {"target", 3}};
    for (const Json& span : spans) {
        const auto found = depths.find(span.value("name", ""));
        const int depth = found == depths.end() ? 1 : found->second;
        output << std::string(static_cast<std::size_t>(depth) * 2 + 2, ' ')
               << span.value("name", "") << " at " << span.value("start_us", 0) << " us for "
               << span.value("duration_us", 0) << " us, " << span.value("detail", "") << "\n";
    }
}

}  // namespace

void print_table(const Json& table, std::ostream& output) {
    output << "generation " << table.value("generation", 0) << "\n";
    for (const Json& row : table.at("table")) {
        for (const auto& [column, cell] : row.at("cells").items()) {
            output << std::left << std::setw(NAME_WIDTH) << row.value("service", "")
                   << std::setw(COLUMN_WIDTH) << column << std::right << std::setw(VALUE_WIDTH)
                   << cell.value("value", 0) << " " << std::left << std::setw(VALUE_WIDTH + 1)
                   << cell.value("unit", "") << " protects " << cell.value("protects", "") << "\n";
        }
    }
    output << "data centres out: " << table.at("out_data_centres").dump()
           << "  hosts out: " << table.at("out_hosts").dump() << "\n";
}

void print_changes(const Json& changes, std::ostream& output) {
    if (changes.empty()) {
        output << "no changes\n";
    }
    for (const Json& change : changes) {
        output << "  " << change.value("where", "") << ": " << change.value("before", "") << " -> "
               << change.value("after", "") << "\n";
    }
}

void print_history(const Json& history, std::ostream& output) {
    for (const Json& entry : history) {
        output << "generation " << entry.value("generation", 0) << "\n";
        print_changes(entry.at("changes"), output);
    }
}

void print_status(const Json& status, std::ostream& output) {
    output << "node " << status.value("node", "") << " in " << status.value("data_centre", "")
           << ", generation " << status.value("generation", 0)
           << (status.value("ready", false) ? ", ready" : ", not ready")
           << (status.value("isolated", false) ? ", isolated" : "") << ", "
           << status.value("in_flight", 0) << " requests in flight\n";
    output << "data centres out: " << status.at("out_data_centres").dump()
           << "  not yet stored: " << status.at("pending_out").dump()
           << "  hosts out: " << status.at("out_hosts").dump()
           << "  hosts leaving: " << status.at("leaving_hosts").dump() << "\n";
    output << "target groups:\n";
    for (const auto& [group, record] : status.at("seats").items()) {
        output << "  " << std::left << std::setw(NAME_WIDTH) << group << record.value("holder", "")
               << ", epoch " << record.value("epoch", 0) << ", share "
               << record.value("share_64ths", 0) << "/64"
               << (record.value("released", false) ? ", released" : "") << "\n";
    }
    output << "targets owned here:\n";
    for (const Json& target : status.at("targets")) {
        output << "  " << std::left << std::setw(COLUMN_WIDTH) << target.value("target", "")
               << (target.value("broken", false) ? "broken "
                   : target.value("warm", false) ? "warm   "
                                                 : "cold   ")
               << "running " << target.value("running", 0) << ", queued "
               << target.value("queued", 0) << ", mean " << target.value("mean_service_us", 0)
               << " us\n";
    }
    output << "retry budgets: " << status.at("extra_load").dump() << "\n";
}

void print_traces(const Json& traces, std::ostream& output) {
    for (const Json& trace : traces) {
        output << "trace " << trace.value("id", "") << " of " << trace.value("service", "") << ", "
               << trace.value("end", "") << "\n";
        print_spans(trace.at("spans"), output);
    }
}

void print_response(const Json& response, std::ostream& output) {
    if (response.contains("error")) {
        output << "error " << response.value("error", "") << ": " << response.value("message", "")
               << " \"" << response.value("offender", "") << "\", verdict "
               << response.value("verdict", "") << "\n";
        return;
    }
    output << response.value("end", "") << ", verdict " << response.value("verdict", "");
    if (response.contains("coverage")) {
        const Json& coverage = response.at("coverage");
        output << ", snapshot " << response.value("snapshot", "") << ", coverage "
               << coverage.value("shards_answered", 0) << " of "
               << coverage.value("shards_total", 0) << " shards, "
               << coverage.value("documents_answered", 0) << " of "
               << coverage.value("documents_total", 0) << " documents";
    }
    output << "\n";
    for (const Json& result : response.at("results")) {
        output << "  " << result.value("shard", "") << " " << text_of(result.at("result")) << "\n";
    }
}

}  // namespace ebonymount
