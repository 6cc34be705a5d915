#include "node/seat_keeper.h"

#include <algorithm>
#include <deque>

#include "io/documents.h"
#include "io/json_reader.h"
#include "node/peer_exchanger.h"

namespace ebonymount {
namespace {

constexpr Duration TICK_INTERVAL = from_ms(100);

/// Maximum wait for running requests when a target group is closed.
constexpr Duration DRAIN_TIMEOUT = from_ms(5000);

/// Time after its deadline for which a request may still run at a target.
constexpr Duration REQUEST_GRACE = from_ms(500);

std::string object_name(const std::string& seat) {
    return "seats/" + seat;
}

Json admission_state_document(const TargetLedger& ledger) {
    return {{"incarnation", ledger.incarnation},
            {"stage", ledger.stage},
            {"successes_in_stage", ledger.successes_in_stage},
            {"mean_service_us", ledger.mean_service.count()}};
}

TargetLedger admission_state_from(const Json& document) {
    JsonReader reader(document, "ledger");
    TargetLedger ledger;
    ledger.incarnation = reader.text("incarnation");
    ledger.stage = static_cast<int>(reader.integer("stage", 0, WARM_STAGE));
    ledger.successes_in_stage = reader.integer("successes_in_stage", 0, 1'000'000);
    ledger.mean_service = Duration(reader.integer("mean_service_us", 0, 60'000'000));
    ledger.stage_since = monotonic_now();
    return ledger;
}

Duration longest_request(const Configuration& configuration) {
    std::int64_t longest_ms = 0;
    for (const ServiceRow& row : configuration.rows) {
        longest_ms = std::max(longest_ms, row.hard_deadline_ms);
    }
    return from_ms(longest_ms) + REQUEST_GRACE;
}

}  // namespace

SeatKeeper::SeatKeeper(NodeState& state, PlatformClient& platform, Relay& relay, PeerPool& peers)
    : m_state(state), m_platform(platform), m_relay(relay), m_peers(peers) {}

SeatKeeper::~SeatKeeper() {
    stop_gracefully();
}

void SeatKeeper::start() {
    m_thread = std::thread([this] { run(); });
}

Result<Done> SeatKeeper::receive_handover(const std::string& bytes) {
    try {
        const Json document = Json::from_msgpack(bytes);
        JsonReader reader(document, "handover");
        Handover handover;
        for (const auto& [target, ledger] : reader.member("ledgers").items()) {
            handover.ledgers[target] = admission_state_from(ledger);
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

void SeatKeeper::stop_gracefully() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::string SeatKeeper::encode_handover(const std::string& seat, std::int64_t epoch,
                                        const WarmLedgers& ledgers) {
    Json document = {{"seat", seat}, {"epoch", epoch}, {"ledgers", Json::object()}};
    for (const auto& [target, ledger] : ledgers) {
        document["ledgers"][target] = admission_state_document(ledger);
    }
    std::string bytes;
    Json::to_msgpack(document, bytes);
    return bytes;
}

void SeatKeeper::run() {
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

void SeatKeeper::tick(bool stopping) {
    const std::shared_ptr<const RoutingView> view = m_state.view();
    if (view->configuration.generation == 0) {
        return;
    }
    m_is_stopping_now = stopping;
    const std::vector<std::string> nodes = candidates(stopping);
    const std::vector<std::string> seats =
        seat_names(m_state.self().data_centre, view->configuration.seats_per_data_centre);
    const std::vector<std::string> assigned = assign_seats(seats, nodes);
    m_assigned_holders.clear();
    for (std::size_t index = 0; index < assigned.size(); ++index) {
        m_assigned_holders[seats[index]] = assigned[index];
    }
    m_may_rebalance = m_state.described_self(monotonic_now()).reaches_platform && !nodes.empty();
    for (const std::string& seat : seats) {
        // Only the assigned holder and one standby poll a group's lease; otherwise the platform's
        // load would grow with the square of the number of nodes.
        const std::string holder = assigned_holder_of(seat);
        const std::string& self = m_state.self().node;
        const bool is_involved = is_held(m_machines[seat]) || holder == self ||
                                 m_machines[seat].handover_epoch.has_value() ||
                                 standby_of(seat, holder, nodes) == self;
        if (is_involved) {
            advance(seat, m_machines[seat], SeatTick{});
        }
    }
}

/// Passes an event to the state machine, performs its actions and feeds their outcomes back, until
/// there are no more actions.
void SeatKeeper::advance(const std::string& seat, SeatMachine& machine, const SeatEvent& event) {
    std::deque<SeatEvent> events{event};
    while (!events.empty()) {
        const std::vector<SeatAction> actions =
            step(machine, events.front(), surroundings(seat, machine), monotonic_now());
        events.pop_front();
        m_state.leases().set(seat, machine.lease);
        for (const SeatAction& action : actions) {
            if (std::optional<SeatEvent> outcome = perform(seat, action)) {
                events.push_back(std::move(*outcome));
            }
        }
    }
}

std::optional<SeatEvent> SeatKeeper::perform(const std::string& seat, const SeatAction& action) {
    if (std::holds_alternative<ReadSeat>(action)) {
        return read_seat(seat);
    }
    if (const WriteSeat* write = std::get_if<WriteSeat>(&action)) {
        return write_seat(seat, *write);
    }
    if (std::holds_alternative<DrainSeat>(action)) {
        log_info("seats", "Finishing requests of seat " + seat + ".");
        const std::optional<WarmLedgers> ledgers = m_relay.close_seat(seat, DRAIN_TIMEOUT);
        m_drained_ledgers[seat] = ledgers.value_or(WarmLedgers{});
        return SeatDrained{ledgers.has_value()};
    }
    if (const OpenSeat* open = std::get_if<OpenSeat>(&action)) {
        open_seat(seat, *open);
    } else if (const LeaveEpoch* leave = std::get_if<LeaveEpoch>(&action)) {
        m_state.leave_seat(seat, leave->epoch);
    } else if (const PublishSeat* news = std::get_if<PublishSeat>(&action)) {
        publish(seat, news->record);
    } else if (const TellSuccessor* notification = std::get_if<TellSuccessor>(&action)) {
        tell_successor(seat, notification->epoch);
    }
    return std::nullopt;
}

SeatEvent SeatKeeper::read_seat(const std::string& seat) {
    const PlatformRead read = m_platform.read(object_name(seat));
    SeatRead event{read.status, read.object.version, {}};
    if (read.status != StoreStatus::done) {
        return event;
    }
    const Result<Json> document = parse_json(read.object.value, object_name(seat));
    const Result<SeatRecord> record = has_value(document) ? seat_record_from(value_of(document))
                                                          : Result<SeatRecord>(error_of(document));
    if (!has_value(record)) {
        log_error("seats", "A lease object cannot be parsed. " + describe(error_of(record)));
        event.status = StoreStatus::unknown;
        return event;
    }
    event.record = value_of(record);
    return event;
}

SeatEvent SeatKeeper::write_seat(const std::string& seat, const WriteSeat& write) {
    const PlatformWrite written =
        m_platform.write(object_name(seat), write.version, to_document(write.record).dump());
    if (written.status != StoreStatus::unknown) {
        m_state.hear_platform(monotonic_now());
    }
    return SeatWritten{written.status, written.version};
}

void SeatKeeper::open_seat(const std::string& seat, const OpenSeat& open) {
    WarmLedgers ledgers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_handovers.find(seat);
        if (open.warm && found != m_handovers.end() &&
            found->second.epoch == open.predecessor_epoch) {
            ledgers = found->second.ledgers;
        }
        m_handovers.erase(seat);
    }
    const SeatLease& lease = m_machines[seat].lease;
    log_info("seats", "Took seat " + seat + ", epoch " + std::to_string(lease.epoch) + ", share " +
                          std::to_string(lease.share_64ths) + "/64, " +
                          std::to_string(ledgers.size()) + " warm targets.");
    m_relay.open_seat(seat, ledgers);
}

void SeatKeeper::tell_successor(const std::string& seat, std::int64_t epoch) {
    const std::string successor = assigned_holder_of(seat);
    log_info("seats", "Released seat " + seat + " to " + successor + ".");
    const std::string address = m_state.query_knowledge(
        [&successor](const ClusterKnowledge& knowledge, const SuspicionList&) -> std::string {
            const auto peer = knowledge.peers.find(host_of(successor));
            return peer == knowledge.peers.end() ? "" : peer->second.address;
        });
    if (!address.empty()) {
        const StreamEvents ignore = {[](std::string_view) {},
                                     [](StreamEnd) {
                                     }};
        m_peers.call(route_to(m_state.settings(), host_of(successor), address), "/handover",
                     encode_handover(seat, epoch, m_drained_ledgers[seat]), ignore);
    }
}

void SeatKeeper::publish(const std::string& seat, const SeatRecord& record) {
    m_state.change_knowledge([&seat, &record](ClusterKnowledge& knowledge, SuspicionList&) {
        return adopt(knowledge, seat, record, monotonic_now());
    });
}

void SeatKeeper::apply_handovers() {
    std::map<std::string, std::int64_t> received;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& [seat, handover] : m_handovers) {
            received[seat] = handover.epoch;
        }
    }
    for (const auto& [seat, epoch] : received) {
        SeatMachine& machine = m_machines[seat];
        if (!is_held(machine) && machine.handover_epoch != epoch) {
            advance(seat, machine, HandoverHeard{epoch});
        }
    }
}

SeatSurroundings SeatKeeper::surroundings(const std::string& seat, const SeatMachine& machine) {
    SeatSurroundings context;
    context.node = m_state.self().node;
    context.address = m_state.self().address;
    context.lease = m_state.settings().lease;
    context.longest_request = longest_request(m_state.view()->configuration);
    // Without the platform a release could not be stored, so every lease stays with its holder.
    const bool keeps_lease = is_held(machine) && !m_may_rebalance;
    context.wanted = assigned_holder_of(seat) == context.node || keeps_lease;
    context.stopping = m_is_stopping_now;
    const std::vector<SeatUse> uses = uses_in_question(machine);
    const Time now = monotonic_now();
    m_state.change_knowledge(
        [&seat, &uses, &context, now](ClusterKnowledge& knowledge, SuspicionList&) {
            note_missing(knowledge, uses, now);
            context.known_gone = known_gone(knowledge, seat, uses, context.longest_request, now);
            return false;
        });
    return context;
}

bool SeatKeeper::holds_any() const {
    const auto held = [](const auto& item) {
        return is_held(item.second);
    };
    return std::any_of(m_machines.begin(), m_machines.end(), held);
}

std::string SeatKeeper::assigned_holder_of(const std::string& seat) const {
    const auto found = m_assigned_holders.find(seat);
    return found == m_assigned_holders.end() ? "" : found->second;
}

/// Nodes that can hold leases of this data centre. Excludes this node while it is stopping.
std::vector<std::string> SeatKeeper::candidates(bool stopping) const {
    const Time now = monotonic_now();
    const Peer self = m_state.described_self(now);
    std::vector<std::string> nodes = m_state.query_knowledge(
        [&self, now](const ClusterKnowledge& knowledge, const SuspicionList&) {
            return seat_candidates(knowledge, self, now);
        });
    if (stopping) {
        std::erase(nodes, self.node);
    }
    return nodes;
}

}  // namespace ebonymount
