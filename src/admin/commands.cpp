#include "admin/commands.h"

#include <algorithm>

#include "io/json_reader.h"
#include "node/platform_sync.h"

namespace ebonymount {
namespace {

/// Maximum number of attempts at a conditional write that conflicts with concurrent writes.
constexpr int MAX_WRITE_ATTEMPTS = 5;

Json draft_document(const Draft& draft) {
    return {{"base_generation", draft.base_generation},
            {"base", to_document(draft.base)},
            {"configuration", to_document(draft.configuration)}};
}

Result<Draft> draft_from(const Json& document) {
    try {
        JsonReader reader(document, "draft");
        Draft draft;
        draft.base_generation = reader.integer("base_generation", 0, INT64_MAX);
        const Result<Configuration> base = configuration_from(reader.member("base"));
        if (!has_value(base)) {
            return error_of(base);
        }
        draft.base = value_of(base);
        const Result<Configuration> configuration =
            configuration_from(reader.member("configuration"));
        if (!has_value(configuration)) {
            return error_of(configuration);
        }
        draft.configuration = value_of(configuration);
        return draft;
    } catch (const UserError& error) {
        return Error{ErrorCode::invalid_input, error.what(), "draft"};
    }
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Writes the generation `next`. If the platform does not confirm the write, reads the
/// configuration again: it lists `operation` if the write took effect.
Result<Done> write_confirmed(PlatformClient& platform, const StoredConfiguration& base,
                             const Configuration& next, const std::string& operation) {
    const Result<Done> written = write_configuration(platform, base, next);
    if (has_value(written) || error_of(written).code == ErrorCode::conflict) {
        return written;
    }
    const Result<StoredConfiguration> stored = read_configuration(platform);
    if (!has_value(stored)) {
        return Error{ErrorCode::unavailable,
                     "the platform did not confirm the write; check the history before you retry",
                     std::to_string(next.generation)};
    }
    if (contains(value_of(stored).configuration.applied_operations, operation)) {
        return Done{};
    }
    return Error{ErrorCode::conflict, "the write did not take effect",
                 std::to_string(next.generation)};
}

/// Error for a draft whose base generation has been superseded; lists what changed since.
Error stale_draft_error(const StoredConfiguration& stored, const Draft& draft,
                        const std::vector<Change>& changes) {
    std::string text = "generation " + std::to_string(stored.configuration.generation) +
                       " was accepted after the draft was created from generation " +
                       std::to_string(draft.base_generation) + "; it changed";
    for (const Change& change : changes) {
        text += " " + change.where + " from " + change.before + " to " + change.after + ";";
    }
    return {ErrorCode::conflict, text, std::to_string(draft.base_generation)};
}

}  // namespace

Result<Draft> read_draft(PlatformClient& platform) {
    const PlatformRead read = platform.read(DRAFT_OBJECT);
    if (read.status == StoreStatus::absent) {
        return Error{ErrorCode::not_found, "there is no draft", DRAFT_OBJECT};
    }
    if (read.status != StoreStatus::done) {
        return Error{ErrorCode::unavailable, "the platform does not respond", DRAFT_OBJECT};
    }
    const Result<Json> document = parse_json(read.object.value, DRAFT_OBJECT);
    return has_value(document) ? draft_from(value_of(document)) : Result<Draft>(error_of(document));
}

Commands::Commands(NodeState& state, PlatformClient& platform, std::function<void()> gossip_now)
    : m_state(state),
      m_platform(platform),
      m_gossip_now(std::move(gossip_now)),
      m_random(process_seed()) {}

Result<Json> Commands::put_draft(const std::string& text) {
    const Result<Json> document = parse_json(text, "draft");
    if (!has_value(document)) {
        return error_of(document);
    }
    const Result<Configuration> configuration = configuration_from(value_of(document));
    if (!has_value(configuration)) {
        return error_of(configuration);
    }
    const Result<StoredConfiguration> base = read_configuration(m_platform);
    if (!has_value(base)) {
        return error_of(base);
    }
    Draft draft;
    draft.configuration = value_of(configuration);
    draft.base = value_of(base).configuration;
    draft.base_generation = draft.base.generation;
    if (draft.configuration.generation != draft.base_generation) {
        return Error{ErrorCode::conflict,
                     "the draft is not based on the accepted generation, " +
                         std::to_string(draft.base_generation),
                     std::to_string(draft.configuration.generation)};
    }
    const PlatformRead previous = m_platform.read(DRAFT_OBJECT);
    if (previous.status == StoreStatus::unknown) {
        return Error{ErrorCode::unavailable, "the platform does not respond", DRAFT_OBJECT};
    }
    const PlatformWrite write =
        m_platform.write(DRAFT_OBJECT, previous.object.version, draft_document(draft).dump());
    if (write.status == StoreStatus::conflict) {
        return Error{ErrorCode::conflict, "another operator stored a draft at the same time",
                     DRAFT_OBJECT};
    }
    if (write.status != StoreStatus::done) {
        return Error{ErrorCode::unavailable, "the platform did not confirm the draft",
                     DRAFT_OBJECT};
    }
    return Json{{"base_generation", draft.base_generation},
                {"changes",
                 to_document(changes_between(value_of(base).configuration, draft.configuration))}};
}

Result<Json> Commands::accept() {
    const Result<Draft> draft = read_draft(m_platform);
    if (!has_value(draft)) {
        return error_of(draft);
    }
    const Result<StoredConfiguration> base = read_configuration(m_platform);
    if (!has_value(base)) {
        return error_of(base);
    }
    const Configuration& stored = value_of(base).configuration;
    if (stored.generation != value_of(draft).base_generation) {
        const std::vector<Change> changes = changes_between(value_of(draft).base, stored);
        return stale_draft_error(value_of(base), value_of(draft), changes);
    }
    Configuration next = value_of(draft).configuration;
    next.generation = stored.generation + 1;
    next.applied_operations = stored.applied_operations;
    next.out_of_service_data_centres = stored.out_of_service_data_centres;
    next.out_of_service_hosts = stored.out_of_service_hosts;
    const std::string operation = new_operation();
    record_applied_operation(next, operation);
    const Result<Done> written = write_confirmed(m_platform, value_of(base), next, operation);
    if (!has_value(written)) {
        return error_of(written);
    }
    return publish(next);
}

Result<Json> Commands::take_out_of_service(bool is_data_centre, const std::string& name) {
    const PendingOutOfService pending_out{new_operation(), is_data_centre, name};
    m_state.update_cluster([&pending_out](ClusterState& cluster, QuarantineList&) {
        return add_pending(cluster, pending_out);
    });
    m_gossip_now();
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; ++attempt) {
        const Result<Done> stored = store_out_of_service(m_platform, pending_out);
        if (has_value(stored)) {
            const Result<StoredConfiguration> confirmed = read_configuration(m_platform);
            return has_value(confirmed) ? publish(value_of(confirmed).configuration)
                                        : Result<Json>(Json{{"stored", true}});
        }
        if (error_of(stored).code == ErrorCode::unavailable) {
            break;
        }
    }
    return Json{{"stored", false},
                {"message",
                 "in effect and spread by gossip between nodes; stored once the platform "
                 "is reachable"}};
}

Result<Json> Commands::return_to_service(bool is_data_centre, const std::string& name) {
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; ++attempt) {
        const Result<StoredConfiguration> base = read_configuration(m_platform);
        if (!has_value(base)) {
            return error_of(base);
        }
        Configuration next = value_of(base).configuration;
        std::vector<std::string>& out =
            is_data_centre ? next.out_of_service_data_centres : next.out_of_service_hosts;
        if (!contains(out, name)) {
            return Error{ErrorCode::not_found, "the data centre or host is not out of service",
                         name};
        }
        std::erase(out, name);
        ++next.generation;
        const std::string operation = new_operation();
        record_applied_operation(next, operation);
        const Result<Done> written = write_confirmed(m_platform, value_of(base), next, operation);
        if (has_value(written)) {
            return publish(next);
        }
        if (error_of(written).code != ErrorCode::conflict) {
            return error_of(written);
        }
    }
    return Error{ErrorCode::conflict, "concurrent changes were stored first; try again", name};
}

Result<Json> Commands::publish(const Configuration& accepted) {
    m_platform.write(HISTORY_PREFIX + std::to_string(accepted.generation), 0,
                     to_document(accepted).dump());
    m_state.update_cluster(
        [&accepted](ClusterState& cluster, QuarantineList&) { return adopt(cluster, accepted); });
    m_gossip_now();
    return Json{{"stored", true}, {"generation", accepted.generation}};
}

std::string Commands::new_operation() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return random_id(m_random);
}

}  // namespace ebonymount
