#include "io/documents.h"

#include "base/check.h"
#include "io/document_reader.h"
#include "io/json_text.h"

namespace ebonymount {
namespace {

void read_cell(const Json& cell, const Column& column, const std::string& path, ServiceRow& row) {
    if (cell.is_number_integer()) {
        row.*column.member = cell.get<std::int64_t>();
        return;
    }
    JsonReader reader(cell, path);
    row.*column.member = reader.integer("value", -MAX_INTEGER, MAX_INTEGER);
    const std::string protects = reader.text_or("protects", column.protects);
    if (protects != column.protects) {
        row.reasons[column.name] = protects;
    }
    const std::string unit = reader.text_or("unit", column.unit);
    user_check(unit == column.unit)
        << path << ".unit is " << unit << ", allowed is " << column.unit;
    reader.finish();
}

ServiceRow read_row(const Json& document) {
    JsonReader reader(document, "row");
    ServiceRow row;
    row.service = reader.text("service");
    JsonReader cells(reader.member("cells"), row.service);
    for (const Column& column : columns()) {
        const Json* cell = cells.find(column.name);
        if (cell != nullptr) {
            read_cell(*cell, column, row.service + "." + column.name, row);
        }
    }
    cells.finish();
    reader.finish();
    return row;
}

Configuration read_configuration(const Json& document) {
    JsonReader reader(document, "");
    Configuration configuration;
    configuration.generation = reader.integer_or("generation", 0, MAX_INTEGER, 0);
    for (const Json& row : reader.array("table")) {
        configuration.rows.push_back(read_row(row));
    }
    configuration.out_of_service_data_centres = reader.texts("out_data_centres");
    configuration.out_of_service_hosts = reader.texts("out_hosts");
    configuration.groups_per_data_centre =
        reader.integer_or("seats_per_data_centre", 1, 1000, configuration.groups_per_data_centre);
    configuration.applied_operations = reader.texts("applied_operations");
    reader.finish();
    const Result<Done> checked = check_configuration(configuration);
    user_check(has_value(checked)) << describe(error_of(checked));
    return configuration;
}

Json row_document(const ServiceRow& row) {
    Json cells = Json::object();
    for (const Column& column : columns()) {
        cells[column.name] = {{"value", row.*column.member},
                              {"unit", column.unit},
                              {"protects", protection_of(row, column)}};
    }
    return {{"service", row.service}, {"cells", cells}};
}

Target read_target(const Json& document) {
    JsonReader reader(document, "target");
    Target target;
    target.id = reader.text("id");
    target.data_centre = reader.text("data_centre");
    target.host = reader.text("host");
    target.address = reader.text("address");
    target.leaving = reader.boolean_or("leaving", false);
    reader.finish();
    return target;
}

Shard read_shard(const Json& document) {
    JsonReader reader(document, "shard");
    Shard shard;
    shard.id = reader.text("id");
    shard.documents = reader.integer("documents", 0, MAX_INTEGER);
    shard.digest = reader.text_or("digest", "");
    shard.replicas = reader.texts("replicas");
    reader.finish();
    return shard;
}

Snapshot read_snapshot(const Json& document) {
    JsonReader reader(document, "snapshot");
    Snapshot snapshot;
    snapshot.id = reader.text("id");
    for (const Json& shard : reader.array("shards")) {
        snapshot.shards.push_back(read_shard(shard));
    }
    reader.finish();
    return snapshot;
}

void check_replicas(const Placement& placement) {
    for (const Snapshot& snapshot : placement.snapshots) {
        for (const Shard& shard : snapshot.shards) {
            for (const std::string& replica : shard.replicas) {
                user_check(find_target(placement, replica) != nullptr)
                    << "shard " << shard.id << " of snapshot " << snapshot.id
                    << " names an unknown target " << replica;
            }
        }
    }
}

Placement read_placement(const Json& document) {
    JsonReader reader(document, "");
    Placement placement;
    placement.service = reader.text("service");
    placement.version = reader.integer("version", 0, MAX_INTEGER);
    for (const Json& target : reader.array("targets")) {
        placement.targets.push_back(read_target(target));
    }
    for (const Json& snapshot : reader.array("snapshots")) {
        placement.snapshots.push_back(read_snapshot(snapshot));
    }
    reader.finish();
    check_replicas(placement);
    return placement;
}

Json former_holder_document(const HolderEpoch& former_holder) {
    return {{"node", former_holder.node}, {"epoch", former_holder.epoch}};
}

HolderEpoch read_former_holder(const Json& document) {
    JsonReader reader(document, "remnants[]");
    HolderEpoch former_holder;
    former_holder.node = reader.text("node");
    former_holder.epoch = reader.integer("epoch", 0, MAX_INTEGER);
    reader.finish();
    return former_holder;
}

GroupLeaseRecord read_group_lease(const Json& document) {
    JsonReader reader(document, "");
    GroupLeaseRecord record;
    record.holder = reader.text("holder");
    record.address = reader.text("address");
    record.epoch = reader.integer("epoch", 0, MAX_INTEGER);
    record.renewal = reader.integer("renewal", 0, MAX_INTEGER);
    record.share_64ths = reader.integer("share_64ths", 0, WHOLE_SHARE);
    record.released = reader.boolean_or("released", false);
    for (const Json& former_holder : reader.array("remnants")) {
        record.former_holders.push_back(read_former_holder(former_holder));
    }
    reader.finish();
    return record;
}

const std::vector<std::pair<IdempotencyState, std::string>>& idempotency_state_names() {
    static const std::vector<std::pair<IdempotencyState, std::string>> names = {
        {IdempotencyState::claimed, "claimed"},
        {IdempotencyState::not_run, "not_run"},
        {IdempotencyState::ran, "ran"},
        {IdempotencyState::may_have_run, "may_have_run"}};
    return names;
}

std::string idempotency_state_name(IdempotencyState state) {
    for (const auto& [listed, name] : idempotency_state_names()) {
        if (listed == state) {
            return name;
        }
    }
    return "may_have_run";
}

IdempotencyState read_idempotency_state(const std::string& name) {
    for (const auto& [state, listed] : idempotency_state_names()) {
        if (listed == name) {
            return state;
        }
    }
    throw UserError("unknown idempotency state " + name);
}

IdempotencyRecord read_idempotency_record(const Json& document, const std::string& key) {
    JsonReader reader(document, key);
    IdempotencyRecord record;
    record.fingerprint = reader.hash("fingerprint");
    record.claimant = reader.text("claimant");
    record.state = read_idempotency_state(reader.text("state"));
    record.claimed_at_s = reader.integer("claimed_at_s", 0, MAX_INTEGER);
    record.result = reader.text_or("result", "");
    reader.finish();
    return record;
}

IdempotencyBucket read_idempotency_bucket(const Json& document) {
    IdempotencyBucket bucket;
    for (const auto& [key, record] : document.items()) {
        bucket[key] = read_idempotency_record(record, key);
    }
    return bucket;
}

}  // namespace

Result<Json> parse_json(std::string_view text, const std::string& source) {
    if (is_text_nested_too_deeply(text)) {
        return Error{ErrorCode::invalid_input, source + " is nested too deeply", source};
    }
    try {
        return Json::parse(text, nullptr, true, true);
    } catch (const Json::exception& error) {
        return Error{ErrorCode::invalid_input, source + " is not JSON: " + error.what(), source};
    }
}

Json to_document(const Configuration& configuration) {
    Json table = Json::array();
    for (const ServiceRow& row : configuration.rows) {
        table.push_back(row_document(row));
    }
    return {{"generation", configuration.generation},
            {"table", table},
            {"out_data_centres", configuration.out_of_service_data_centres},
            {"out_hosts", configuration.out_of_service_hosts},
            {"seats_per_data_centre", configuration.groups_per_data_centre},
            {"applied_operations", configuration.applied_operations}};
}

Result<Configuration> configuration_from(const Json& document) {
    return read_document<Configuration>(document, "configuration", read_configuration);
}

Json to_document(const Placement& placement) {
    Json document = {{"service", placement.service},
                     {"version", placement.version},
                     {"targets", Json::array()},
                     {"snapshots", Json::array()}};
    for (const Target& target : placement.targets) {
        document["targets"].push_back({{"id", target.id},
                                       {"data_centre", target.data_centre},
                                       {"host", target.host},
                                       {"address", target.address},
                                       {"leaving", target.leaving}});
    }
    for (const Snapshot& snapshot : placement.snapshots) {
        Json shards = Json::array();
        for (const Shard& shard : snapshot.shards) {
            shards.push_back({{"id", shard.id},
                              {"documents", shard.documents},
                              {"digest", shard.digest},
                              {"replicas", shard.replicas}});
        }
        document["snapshots"].push_back({{"id", snapshot.id}, {"shards", shards}});
    }
    return document;
}

Result<Placement> placement_from(const Json& document) {
    return read_document<Placement>(document, "placement", read_placement);
}

Json to_document(const GroupLeaseRecord& record) {
    Json former_holders = Json::array();
    for (const HolderEpoch& former_holder : record.former_holders) {
        former_holders.push_back(former_holder_document(former_holder));
    }
    return {{"holder", record.holder},
            {"address", record.address},
            {"epoch", record.epoch},
            {"renewal", record.renewal},
            {"share_64ths", record.share_64ths},
            {"released", record.released},
            {"remnants", former_holders}};
}

Result<GroupLeaseRecord> group_lease_from(const Json& document) {
    return read_document<GroupLeaseRecord>(document, "group lease", read_group_lease);
}

Json to_document(const IdempotencyBucket& bucket) {
    Json document = Json::object();
    for (const auto& [key, record] : bucket) {
        document[key] = {{"fingerprint", std::to_string(record.fingerprint)},
                         {"claimant", record.claimant},
                         {"state", idempotency_state_name(record.state)},
                         {"claimed_at_s", record.claimed_at_s},
                         {"result", record.result}};
    }
    return document;
}

Result<IdempotencyBucket> idempotency_bucket_from(const Json& document) {
    return read_document<IdempotencyBucket>(document, "idempotency bucket",
                                            read_idempotency_bucket);
}

Json to_document(const std::vector<Change>& changes) {
    Json document = Json::array();
    for (const Change& change : changes) {
        document.push_back(
            {{"where", change.where}, {"before", change.before}, {"after", change.after}});
    }
    return document;
}

}  // namespace ebonymount
