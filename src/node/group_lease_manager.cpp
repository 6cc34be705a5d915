#include "node/group_lease_manager.h"

#include <algorithm>
#include <deque>

#include "io/documents.h"
#include "io/exception_guard.h"
#include "io/json_reader.h"
#include "node/gossiper.h"

namespace ebonymount {
namespace {

constexpr Duration TICK_INTERVAL = from_ms(100);

/// Maximum wait for running requests to end when a target group is closed.
constexpr Duration DRAIN_TIMEOUT = from_ms(5000);

/// Time after its deadline for which a request may still run at a target.
constexpr Duration REQUEST_GRACE = from_ms(500);

std::string lease_object_name(const std::string& group) {
    return "seats/" + group;
}

Json admission_state_document(const AdmissionState& admission) {
    return {{"incarnation", admission.incarnation},
            {"stage", admission.stage},
            {"successes_in_stage", admission.successes_in_stage},
            {"mean_service_us", admission.mean_service_time.count()}};
}

AdmissionState admission_state_from(const Json& document) {
    JsonReader reader(document, "ledger");
    AdmissionState admission;
    admission.incarnation = reader.text("incarnation");
    admission.stage = static_cast<int>(reader.integer("stage", 0, WARM_STAGE));
    admission.successes_in_stage = reader.integer("successes_in_stage", 0, 1'000'000);
    admission.mean_service_time = Duration(reader.integer("mean_service_us", 0, 60'000'000));
    admission.stage_since = monotonic_now();
    return admission;
}

Duration max_request_time(const Configuration& configuration) {
    std::int64_t max_deadline_ms = 0;
    for (const ServiceRow& row : configuration.rows) {
        max_deadline_ms = std::max(max_deadline_ms, row.hard_deadline_ms);
    }
    return from_ms(max_deadline_ms) + REQUEST_GRACE;
}

}  // namespace

GroupLeaseManager::GroupLeaseManager(NodeState& state, PlatformClient& platform, Relay& relay,
                                     PeerPool& peers)
    : m_state(state), m_platform(platform), m_relay(relay), m_peers(peers) {}

GroupLeaseManager::~GroupLeaseManager() {
    stop_gracefully();
}

void GroupLeaseManager::start() {
    m_thread = std::thread([this] { run_thread("leases", [this] { run(); }); });
}

Result<Done> GroupLeaseManager::receive_handover(const std::string& bytes) {
    try {
        const Json document = Json::from_msgpack(bytes);
        JsonReader reader(document, "handover");
        Handover handover;
        for (const auto& [target, admission] : reader.member("ledgers").items()) {
            handover.admissions[target] = admission_state_from(admission);
        }
        handover.epoch = reader.integer("epoch", 0, INT64_MAX);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_handovers[reader.text("seat")] = handover;
        m_handover_arrived = true;
    } catch (const std::exception& error) {
        return Error{ErrorCode::protocol,
                     std::string("the handover cannot be parsed: ") + error.what(), "handover"};
    }
    m_wake.notify_all();
    return Done{};
}

void GroupLeaseManager::stop_gracefully() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::string GroupLeaseManager::encode_handover(const std::string& group, std::int64_t epoch,
                                               const AdmissionStates& admissions) {
    Json document = {{"seat", group}, {"epoch", epoch}, {"ledgers", Json::object()}};
    for (const auto& [target, admission] : admissions) {
        document["ledgers"][target] = admission_state_document(admission);
    }
    std::string bytes;
    Json::to_msgpack(document, bytes);
    return bytes;
}

void GroupLeaseManager::run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_handover_arrived = false;
        lock.unlock();
        apply_handovers();
        tick(false);
        lock.lock();
        m_wake.wait_for(lock, TICK_INTERVAL, [this] { return m_stopping || m_handover_arrived; });
    }
    lock.unlock();
    while (holds_any()) {
        tick(true);
    }
}

void GroupLeaseManager::tick(bool stopping) {
    const std::shared_ptr<const RoutingView> view = m_state.view();
    if (view->configuration.generation == 0) {
        return;
    }
    m_is_stopping_tick = stopping;
    const std::vector<std::string> nodes = candidates(stopping);
    const std::vector<std::string> groups =
        group_names(m_state.self().data_centre, view->configuration.groups_per_data_centre);
    const std::vector<std::string> assigned = assign_groups(groups, nodes);
    m_assigned_holders.clear();
    for (std::size_t index = 0; index < assigned.size(); ++index) {
        m_assigned_holders[groups[index]] = assigned[index];
    }
    m_may_rebalance = m_state.self_description(monotonic_now()).reaches_platform && !nodes.empty();
    for (const std::string& group : groups) {
        // Only the assigned holder and one standby poll a group's lease; otherwise the platform's
        // load would grow with the square of the number of nodes.
        const std::string holder = assigned_holder_of(group);
        const std::string& self = m_state.self().node;
        const bool is_involved = is_held(m_machines[group]) || holder == self ||
                                 m_machines[group].handover_epoch.has_value() ||
                                 standby_of(group, holder, nodes) == self;
        if (is_involved) {
            advance(group, m_machines[group], LeaseTick{});
        }
    }
}

/// Passes an event to the state machine, performs its actions and feeds their outcomes back, until
/// there are no more actions.
void GroupLeaseManager::advance(const std::string& group, GroupLeaseMachine& machine,
                                const LeaseEvent& event) {
    std::deque<LeaseEvent> events{event};
    while (!events.empty()) {
        const std::vector<LeaseAction> actions =
            step(machine, events.front(), lease_context(group, machine), monotonic_now());
        events.pop_front();
        m_state.leases().set(group, machine.lease);
        for (const LeaseAction& action : actions) {
            if (std::optional<LeaseEvent> outcome = perform(group, action)) {
                events.push_back(std::move(*outcome));
            }
        }
    }
}

std::optional<LeaseEvent> GroupLeaseManager::perform(const std::string& group,
                                                     const LeaseAction& action) {
    if (std::holds_alternative<ReadLease>(action)) {
        return read_lease(group);
    }
    if (const WriteLease* write = std::get_if<WriteLease>(&action)) {
        return write_lease(group, *write);
    }
    if (std::holds_alternative<DrainGroup>(action)) {
        log_info("seats", "Finishing requests of seat " + group + ".");
        const std::optional<AdmissionStates> admissions = m_relay.close_group(group, DRAIN_TIMEOUT);
        m_drained_admissions[group] = admissions.value_or(AdmissionStates{});
        return GroupDrained{admissions.has_value()};
    }
    if (const OpenGroup* open = std::get_if<OpenGroup>(&action)) {
        open_group(group, *open);
    } else if (const EndEpoch* end = std::get_if<EndEpoch>(&action)) {
        m_state.record_ended_epoch(group, end->epoch);
    } else if (const PublishLease* published = std::get_if<PublishLease>(&action)) {
        publish(group, published->record);
    } else if (const NotifySuccessor* notification = std::get_if<NotifySuccessor>(&action)) {
        notify_successor(group, notification->epoch);
    }
    return std::nullopt;
}

LeaseEvent GroupLeaseManager::read_lease(const std::string& group) {
    const PlatformRead read = m_platform.read(lease_object_name(group));
    LeaseRead event{read.status, read.object.version, {}};
    if (read.status != StoreStatus::done) {
        return event;
    }
    const Result<Json> document = parse_json(read.object.value, lease_object_name(group));
    const Result<GroupLeaseRecord> record = has_value(document)
                                                ? group_lease_from(value_of(document))
                                                : Result<GroupLeaseRecord>(error_of(document));
    if (!has_value(record)) {
        log_error("seats", "A lease object cannot be parsed. " + describe(error_of(record)));
        event.status = StoreStatus::unknown;
        return event;
    }
    event.record = value_of(record);
    return event;
}

LeaseEvent GroupLeaseManager::write_lease(const std::string& group, const WriteLease& write) {
    const PlatformWrite written =
        m_platform.write(lease_object_name(group), write.version, to_document(write.record).dump());
    if (written.status != StoreStatus::unknown) {
        m_state.record_platform_contact(monotonic_now());
    }
    return LeaseWritten{written.status, written.version};
}

void GroupLeaseManager::open_group(const std::string& group, const OpenGroup& open) {
    AdmissionStates admissions;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_handovers.find(group);
        if (open.warm && found != m_handovers.end() &&
            found->second.epoch == open.predecessor_epoch) {
            admissions = found->second.admissions;
        }
        m_handovers.erase(group);
    }
    const GroupLease& lease = m_machines[group].lease;
    log_info("seats", "Took seat " + group + ", epoch " + std::to_string(lease.epoch) + ", share " +
                          std::to_string(lease.share_64ths) + "/64, " +
                          std::to_string(admissions.size()) + " warm targets.");
    m_relay.open_group(group, admissions);
}

void GroupLeaseManager::notify_successor(const std::string& group, std::int64_t epoch) {
    const std::string successor = assigned_holder_of(group);
    log_info("seats", "Released seat " + group + " to " + successor + ".");
    const std::string address = m_state.query_cluster(
        [&successor](const ClusterState& cluster, const QuarantineList&) -> std::string {
            const auto peer = cluster.peers.find(host_of(successor));
            return peer == cluster.peers.end() ? "" : peer->second.address;
        });
    if (!address.empty()) {
        const StreamCallbacks ignore = {[](std::string_view) {},
                                        [](StreamStatus) {
                                        }};
        m_peers.call(route_to(m_state.settings(), host_of(successor), address), "/handover",
                     encode_handover(group, epoch, m_drained_admissions[group]), ignore);
    }
}

void GroupLeaseManager::publish(const std::string& group, const GroupLeaseRecord& record) {
    m_state.update_cluster([&group, &record](ClusterState& cluster, QuarantineList&) {
        return adopt(cluster, group, record, monotonic_now());
    });
}

void GroupLeaseManager::apply_handovers() {
    std::map<std::string, std::int64_t> received;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& [group, handover] : m_handovers) {
            received[group] = handover.epoch;
        }
    }
    for (const auto& [group, epoch] : received) {
        GroupLeaseMachine& machine = m_machines[group];
        if (!is_held(machine) && machine.handover_epoch != epoch) {
            advance(group, machine, HandoverReceived{epoch});
        }
    }
}

LeaseContext GroupLeaseManager::lease_context(const std::string& group,
                                              const GroupLeaseMachine& machine) {
    LeaseContext context;
    context.node = m_state.self().node;
    context.address = m_state.self().address;
    context.lease_duration = m_state.settings().lease_duration;
    context.max_request_time = max_request_time(m_state.view()->configuration);
    // While the platform is unreachable a release could not be stored, so every lease stays with
    // its holder.
    const bool keeps_lease = is_held(machine) && !m_may_rebalance;
    context.is_assigned = assigned_holder_of(group) == context.node || keeps_lease;
    context.stopping = m_is_stopping_tick;
    const std::vector<HolderEpoch> holders = unresolved_holders(machine);
    const Time now = monotonic_now();
    m_state.update_cluster(
        [&group, &holders, &context, now](ClusterState& cluster, QuarantineList&) {
            record_absent_nodes(cluster, holders, now);
            context.ended_holders =
                ended_holders(cluster, group, holders, context.max_request_time, now);
            return false;
        });
    return context;
}

bool GroupLeaseManager::holds_any() const {
    const auto held = [](const auto& item) {
        return is_held(item.second);
    };
    return std::any_of(m_machines.begin(), m_machines.end(), held);
}

std::string GroupLeaseManager::assigned_holder_of(const std::string& group) const {
    const auto found = m_assigned_holders.find(group);
    return found == m_assigned_holders.end() ? "" : found->second;
}

/// Nodes that can hold leases of this data centre. Excludes this node while it is stopping.
std::vector<std::string> GroupLeaseManager::candidates(bool stopping) const {
    const Time now = monotonic_now();
    const Peer self = m_state.self_description(now);
    std::vector<std::string> nodes =
        m_state.query_cluster([&self, now](const ClusterState& cluster, const QuarantineList&) {
            return lease_candidates(cluster, self, now);
        });
    if (stopping) {
        std::erase(nodes, self.node);
    }
    return nodes;
}

}  // namespace ebonymount
