#include "node/platform_sync.h"

#include <algorithm>

#include "io/exception_guard.h"
#include "io/peer_documents.h"

namespace ebonymount {
namespace {

constexpr Duration RETRY_PAUSE = from_ms(200);

/// Number of peers up to which the host list is read at its configured interval. With more peers
/// the interval grows in proportion.
constexpr std::size_t PEERS_AT_BASE_INTERVAL = 20;

/// Maximum number of operations in a configuration's list of applied operations. The list contains
/// both kinds of operations: those that take out of service and those that return to service.
constexpr std::size_t MAX_APPLIED_OPERATIONS = 64;

template <typename T>
bool contains(const std::vector<T>& items, const T& item) {
    return std::find(items.begin(), items.end(), item) != items.end();
}

}  // namespace

Result<StoredConfiguration> read_configuration(PlatformClient& platform) {
    const PlatformRead read = platform.read(CONFIGURATION_OBJECT);
    if (read.status == StoreStatus::absent) {
        return StoredConfiguration{};
    }
    if (read.status != StoreStatus::done) {
        return Error{ErrorCode::unavailable, "the platform does not respond", CONFIGURATION_OBJECT};
    }
    const Result<Json> document = parse_json(read.object.value, CONFIGURATION_OBJECT);
    if (!has_value(document)) {
        return error_of(document);
    }
    const Result<Configuration> configuration = configuration_from(value_of(document));
    if (!has_value(configuration)) {
        return error_of(configuration);
    }
    return StoredConfiguration{value_of(configuration), read.object.version};
}

Result<Done> write_configuration(PlatformClient& platform, const StoredConfiguration& base,
                                 const Configuration& next) {
    const PlatformWrite write =
        platform.write(CONFIGURATION_OBJECT, base.version, to_document(next).dump());
    switch (write.status) {
        case StoreStatus::done:
            return Done{};
        case StoreStatus::conflict:
            return Error{ErrorCode::conflict, "another generation was accepted first",
                         std::to_string(next.generation)};
        default:
            return Error{ErrorCode::unavailable, "the platform did not confirm the write",
                         std::to_string(next.generation)};
    }
}

void record_applied_operation(Configuration& configuration, const std::string& operation) {
    configuration.applied_operations.push_back(operation);
    if (configuration.applied_operations.size() > MAX_APPLIED_OPERATIONS) {
        configuration.applied_operations.erase(configuration.applied_operations.begin());
    }
}

Result<Done> store_out_of_service(PlatformClient& platform,
                                  const PendingOutOfService& pending_out) {
    const Result<StoredConfiguration> base = read_configuration(platform);
    if (!has_value(base)) {
        return error_of(base);
    }
    Configuration next = value_of(base).configuration;
    if (contains(next.applied_operations, pending_out.operation)) {
        return Done{};
    }
    std::vector<std::string>& out =
        pending_out.is_data_centre ? next.out_of_service_data_centres : next.out_of_service_hosts;
    if (!contains(out, pending_out.name)) {
        out.push_back(pending_out.name);
    }
    ++next.generation;
    record_applied_operation(next, pending_out.operation);
    return write_configuration(platform, value_of(base), next);
}

PlatformSync::PlatformSync(NodeState& state, PlatformClient& platform)
    : m_state(state), m_platform(platform) {}

PlatformSync::~PlatformSync() {
    stop();
}

void PlatformSync::start() {
    m_watch_thread = std::thread([this] { run_thread("platform", [this] { run_watch(); }); });
    m_host_thread = std::thread([this] { run_thread("platform", [this] { run_host_list(); }); });
}

void PlatformSync::stop() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread* thread : {&m_watch_thread, &m_host_thread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void PlatformSync::run_watch() {
    while (!is_stopping()) {
        const bool is_watcher =
            m_state.query_cluster([this](const ClusterState& cluster, const QuarantineList&) {
                return is_platform_watcher(cluster, m_state.self(), monotonic_now());
            });
        const bool has_no_configuration = m_state.view()->configuration.generation == 0;
        if (!is_watcher && !has_no_configuration) {
            pause(RETRY_PAUSE * 5);
            continue;
        }
        const PlatformWrite watched = m_loaded_version < 0
                                          ? PlatformWrite{StoreStatus::done, 0}
                                          : m_platform.watch(CONFIGURATION_PREFIX, m_loaded_version,
                                                             m_state.settings().watch_wait);
        const bool unchanged =
            watched.status == StoreStatus::done && watched.version == m_loaded_version;
        if (unchanged) {
            m_state.record_platform_contact(monotonic_now());
            continue;
        }
        if (watched.status != StoreStatus::done || !load_objects()) {
            pause(RETRY_PAUSE);
        }
    }
}

void PlatformSync::run_host_list() {
    while (!is_stopping()) {
        load_host_list();
        store_pending();
        pause(host_list_interval());
    }
}

bool PlatformSync::load_objects() {
    const PlatformList list = m_platform.list(CONFIGURATION_PREFIX);
    if (list.status != StoreStatus::done) {
        return false;
    }
    std::int64_t highest = 0;
    for (const PlatformObject& object : list.objects) {
        highest = std::max(highest, object.version);
        adopt_object(object);
    }
    m_loaded_version = highest;
    m_state.record_platform_contact(monotonic_now());
    return true;
}

void PlatformSync::adopt_object(const PlatformObject& object) {
    const Result<Json> document = parse_json(object.value, object.name);
    if (!has_value(document)) {
        log_error("platform", "Ignored a malformed object. " + describe(error_of(document)));
        return;
    }
    if (object.name == CONFIGURATION_OBJECT) {
        const Result<Configuration> configuration = configuration_from(value_of(document));
        if (!has_value(configuration)) {
            log_error("platform",
                      "Ignored an invalid configuration. " + describe(error_of(configuration)));
            return;
        }
        m_state.update_cluster([&configuration](ClusterState& cluster, QuarantineList&) {
            return adopt(cluster, value_of(configuration));
        });
        return;
    }
    const Result<Placement> placement = placement_from(value_of(document));
    if (!has_value(placement)) {
        log_error("platform", "Ignored an invalid placement. " + describe(error_of(placement)));
        return;
    }
    m_state.update_cluster([&placement](ClusterState& cluster, QuarantineList&) {
        return adopt(cluster, value_of(placement));
    });
}

void PlatformSync::load_host_list() {
    const PlatformRead read = m_platform.hosts();
    if (read.status != StoreStatus::done) {
        return;
    }
    const Result<Json> document = parse_json(read.object.value, "host list");
    const Result<std::vector<Peer>> hosts = has_value(document)
                                                ? hosts_from(value_of(document))
                                                : Result<std::vector<Peer>>(error_of(document));
    if (!has_value(hosts)) {
        log_error("platform", "Ignored an invalid host list. " + describe(error_of(hosts)));
        return;
    }
    m_state.update_cluster([&hosts](ClusterState& cluster, QuarantineList&) {
        const std::set<std::string> leaving_before = cluster.leaving_hosts;
        adopt_hosts(cluster, value_of(hosts), monotonic_now());
        cluster.platform_last_contact = monotonic_now();
        return cluster.leaving_hosts != leaving_before;
    });
}

void PlatformSync::store_pending() {
    const std::vector<PendingOutOfService> pending = m_state.query_cluster(
        [](const ClusterState& cluster, const QuarantineList&) { return cluster.pending; });
    for (const PendingOutOfService& pending_out : pending) {
        const Result<Done> stored = store_out_of_service(m_platform, pending_out);
        if (has_value(stored)) {
            log_info("platform", "Stored " + pending_out.name + " as out of service.");
            load_objects();
        }
    }
}

Duration PlatformSync::host_list_interval() const {
    const std::size_t peers = m_state.query_cluster(
        [](const ClusterState& cluster, const QuarantineList&) { return cluster.peers.size(); });
    const std::size_t factor = std::max<std::size_t>(1, peers / PEERS_AT_BASE_INTERVAL);
    return m_state.settings().host_list_interval * static_cast<std::int64_t>(factor);
}

void PlatformSync::pause(Duration duration) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_wake.wait_for(lock, duration, [this] { return m_stopping; });
}

bool PlatformSync::is_stopping() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stopping;
}

}  // namespace ebonymount
