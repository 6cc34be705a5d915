#include "node/seat_keeper.h"

#include <algorithm>

#include "io/documents.h"
#include "io/json_reader.h"
#include "node/peer_exchanger.h"

namespace ebonymount {
namespace {

constexpr Duration TICK = from_ms(100);

/// A seat is handed over only after another node has been its assigned holder for this long.
constexpr Duration UNWANTED_FOR = from_ms(3000);

/// Longest wait for requests that still run when a seat is handed over.
constexpr Duration DRAIN_LIMIT = from_ms(5000);

std::string object_name(const std::string& seat) {
    return "seats/" + seat;
}

Json ledger_document(const TargetLedger& ledger) {
    return {{"incarnation", ledger.incarnation},
            {"stage", ledger.stage},
            {"successes_in_stage", ledger.successes_in_stage},
            {"mean_service_us", ledger.mean_service.count()}};
}

TargetLedger read_ledger(const Json& document) {
    JsonReader reader(document, "ledger");
    TargetLedger ledger;
    ledger.incarnation = reader.text("incarnation");
    ledger.stage = static_cast<int>(reader.integer("stage", 0, WARM_STAGE));
    ledger.successes_in_stage = reader.integer("successes_in_stage", 0, 1'000'000);
    ledger.mean_service = Duration(reader.integer("mean_service_us", 0, 60'000'000));
    ledger.stage_since = monotonic_now();
    return ledger;
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

void SeatKeeper::on_handover(const std::string& seat, std::int64_t epoch,
                             const WarmLedgers& ledgers) {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_handovers[seat] = {epoch, ledgers};
    }
    m_wake.notify_all();
}

std::string SeatKeeper::encode_handover(const std::string& seat, std::int64_t epoch,
                                        const WarmLedgers& ledgers) {
    Json document = {{"seat", seat}, {"epoch", epoch}, {"ledgers", Json::object()}};
    for (const auto& [target, ledger] : ledgers) {
        document["ledgers"][target] = ledger_document(ledger);
    }
    std::string bytes;
    Json::to_msgpack(document, bytes);
    return bytes;
}

Result<Done> SeatKeeper::receive_handover(const std::string& bytes) {
    try {
        const Json document = Json::from_msgpack(bytes);
        JsonReader reader(document, "hand-over");
        WarmLedgers ledgers;
        for (const auto& [target, ledger] : reader.member("ledgers").items()) {
            ledgers[target] = read_ledger(ledger);
        }
        on_handover(reader.text("seat"), reader.integer("epoch", 0, INT64_MAX), ledgers);
        return Done{};
    } catch (const std::exception& error) {
        return Error{ErrorCode::protocol, std::string("hand-over cannot be read: ") + error.what(),
                     "hand-over"};
    }
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

void SeatKeeper::run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        tick();
        lock.lock();
        m_wake.wait_for(lock, TICK);
    }
    lock.unlock();
    const std::vector<std::string> nodes =
        m_state.query_knowledge([this](const ClusterKnowledge& knowledge, const SuspicionList&) {
            return live_nodes(knowledge, m_state.self(), monotonic_now());
        });
    std::vector<std::string> others = nodes;
    std::erase(others, m_state.self().node);
    while (!m_held.empty()) {
        const std::string seat = m_held.begin()->first;
        const std::vector<std::string> seats = seat_names(
            m_state.self().data_centre, m_state.view()->configuration.seats_per_data_centre);
        const std::vector<std::string> wanted = assign_seats(seats, others);
        const auto position = std::find(seats.begin(), seats.end(), seat);
        const std::size_t index = static_cast<std::size_t>(position - seats.begin());
        hand_over(seat, index < wanted.size() ? wanted[index] : "");
    }
}

void SeatKeeper::tick() {
    const std::shared_ptr<const RoutingView> view = m_state.view();
    if (view->configuration.generation == 0) {
        return;
    }
    const Time now = monotonic_now();
    const std::vector<std::string> nodes = m_state.query_knowledge(
        [this, now](const ClusterKnowledge& knowledge, const SuspicionList&) {
            return live_nodes(knowledge, m_state.self(), now);
        });
    const std::vector<std::string> seats =
        seat_names(m_state.self().data_centre, view->configuration.seats_per_data_centre);
    const std::vector<std::string> wanted = assign_seats(seats, nodes);
    for (std::size_t index = 0; index < seats.size(); ++index) {
        if (m_held.count(seats[index]) > 0) {
            tend_held(seats[index], wanted[index], now);
        } else {
            tend_other(seats[index], wanted[index] == m_state.self().node, now);
        }
    }
}

void SeatKeeper::tend_held(const std::string& seat, const std::string& wanted_holder, Time now) {
    HeldSeat& held = m_held[seat];
    if (wanted_holder == m_state.self().node) {
        held.unwanted_since.reset();
    } else if (!held.unwanted_since.has_value()) {
        held.unwanted_since = now;
    } else if (now - *held.unwanted_since > UNWANTED_FOR) {
        hand_over(seat, wanted_holder);
        return;
    }
    if (now >= held.next_renewal) {
        renew(seat, held);
    }
}

void SeatKeeper::renew(const std::string& seat, HeldSeat& held) {
    const Time sent = monotonic_now();
    held.next_renewal = sent + m_state.settings().lease / 3;
    const SeatRecord next = renewed(held.record, gone_uses(seat, held.record));
    const PlatformWrite write =
        m_platform.write(object_name(seat), held.version, to_document(next).dump());
    if (write.status == PlatformStatus::done) {
        held.record = next;
        held.version = write.version;
        m_state.leases().update(seat, [this, &next, sent](SeatLease& lease) {
            lease.share_64ths = next.share_64ths;
            on_renewed(lease, m_state.settings().lease, sent);
        });
        publish(seat, next);
        return;
    }
    confirm_renewal(seat, held, sent);
}

/// The write was refused or its answer was lost: the object itself says what has happened.
void SeatKeeper::confirm_renewal(const std::string& seat, HeldSeat& held, Time sent) {
    const PlatformRead read = m_platform.read(object_name(seat));
    if (read.status == PlatformStatus::unknown) {
        m_state.leases().update(seat,
                                [sent](SeatLease& lease) { on_platform_failure(lease, sent); });
        return;
    }
    const Result<Json> document = parse_json(read.object.value, object_name(seat));
    const Result<SeatRecord> record = has_value(document) ? seat_record_from(value_of(document))
                                                          : Result<SeatRecord>(error_of(document));
    const bool mine = read.status == PlatformStatus::done && has_value(record) &&
                      value_of(record).holder == m_state.self().node &&
                      value_of(record).epoch == held.record.epoch && !value_of(record).released;
    if (!mine) {
        lose(seat);
        return;
    }
    const bool took_effect = value_of(record).renewal > held.record.renewal;
    held.record = value_of(record);
    held.version = read.object.version;
    held.next_renewal = monotonic_now();
    if (took_effect) {
        m_state.leases().update(seat, [this, &held, sent](SeatLease& lease) {
            lease.share_64ths = held.record.share_64ths;
            on_renewed(lease, m_state.settings().lease, sent);
        });
    }
}

void SeatKeeper::tend_other(const std::string& seat, bool is_wanted, Time now) {
    WatchedSeat& watched = m_watched[seat];
    bool handed_over = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        handed_over = m_handovers.count(seat) > 0;
    }
    if (now < watched.next_poll && !handed_over) {
        return;
    }
    watched.next_poll = now + m_state.settings().lease / 4;
    const PlatformRead read = m_platform.read(object_name(seat));
    SeatRecord record;
    if (read.status == PlatformStatus::unknown) {
        return;
    }
    if (read.status == PlatformStatus::done) {
        const Result<Json> document = parse_json(read.object.value, object_name(seat));
        const Result<SeatRecord> parsed = has_value(document)
                                              ? seat_record_from(value_of(document))
                                              : Result<SeatRecord>(error_of(document));
        if (!has_value(parsed)) {
            log_error("seats", "Seat object cannot be read. " + describe(error_of(parsed)));
            return;
        }
        record = value_of(parsed);
    }
    if (read.object.version != watched.version || watched.watch.unchanged_since == Time{}) {
        watched.watch.unchanged_since = monotonic_now();
    }
    watched.version = read.object.version;
    watched.watch.last_seen = record;
    publish(seat, record);
    if (is_unused_own(seat, record)) {
        take(seat, watched);
        return;
    }
    // Another node than the assigned one waits for half a lease more, so that they do not race.
    const Duration patience = is_wanted || handed_over ? Duration(0) : m_state.settings().lease / 2;
    const bool is_free = record.released || record.holder.empty();
    const Time judged_at = is_free ? now : now - patience;
    const bool waited =
        !is_free || is_wanted || handed_over || now - watched.watch.unchanged_since >= patience;
    if (waited && may_take(watched.watch, m_state.settings().lease, judged_at)) {
        take(seat, watched);
    }
}

/// True for a record with this node's name whose write was not confirmed: nothing was ever sent
/// under that epoch.
bool SeatKeeper::is_unused_own(const std::string& seat, const SeatRecord& record) const {
    const auto running = m_still_running.find(seat);
    const bool still_running = running != m_still_running.end() && running->second == record.epoch;
    return record.holder == m_state.self().node && !record.released && !still_running;
}

void SeatKeeper::take(const std::string& seat, WatchedSeat& watched) {
    const SeatRecord last = watched.watch.last_seen;
    std::vector<SeatUse> uses = last.remnants;
    uses.push_back({last.holder, last.epoch});
    SeatRecord probe = last;
    probe.remnants = uses;
    watched.watch.known_gone = gone_uses(seat, probe);
    if (is_unused_own(seat, last)) {
        watched.watch.known_gone.push_back({last.holder, last.epoch});
    }
    const SeatRecord next = taken_by(watched.watch, m_state.self().node, m_state.self().address);
    const Time sent = monotonic_now();
    const PlatformWrite write =
        m_platform.write(object_name(seat), watched.version, to_document(next).dump());
    if (write.status != PlatformStatus::done) {
        // Somebody else was faster, or the answer was lost: the next poll tells.
        watched.next_poll = monotonic_now();
        return;
    }
    hold(seat, next, write.version, sent, warm_ledgers(seat, last));
}

void SeatKeeper::hold(const std::string& seat, const SeatRecord& record, std::int64_t version,
                      Time sent, const WarmLedgers& ledgers) {
    HeldSeat held;
    held.record = record;
    held.version = version;
    held.next_renewal = sent + m_state.settings().lease / 3;
    m_held[seat] = held;
    m_watched.erase(seat);
    m_state.leases().update(seat, [this, &record, sent](SeatLease& lease) {
        lease = SeatLease{};
        lease.epoch = record.epoch;
        lease.share_64ths = record.share_64ths;
        on_renewed(lease, m_state.settings().lease, sent);
    });
    log_info("seats", "Took seat " + seat + ", epoch " + std::to_string(record.epoch) + ", share " +
                          std::to_string(record.share_64ths) + "/64, " +
                          std::to_string(ledgers.size()) + " warm targets.");
    publish(seat, record);
    m_relay.open_seat(seat, ledgers);
}

void SeatKeeper::hand_over(const std::string& seat, const std::string& successor) {
    HeldSeat held = m_held[seat];
    m_state.leases().update(seat, [](SeatLease& lease) { lease.draining = true; });
    const std::optional<WarmLedgers> ledgers = m_relay.close_seat(seat, DRAIN_LIMIT);
    m_held.erase(seat);
    m_state.leases().erase(seat);
    if (!ledgers.has_value()) {
        m_still_running[seat] = held.record.epoch;
        log_warning("seats", "Left seat " + seat + " to lapse, a request still runs.");
        return;
    }
    m_state.leave_seat(seat, held.record.epoch);
    const SeatRecord last = released(held.record);
    const PlatformWrite write =
        m_platform.write(object_name(seat), held.version, to_document(last).dump());
    if (write.status != PlatformStatus::done) {
        log_warning("seats", "Release of seat " + seat + " was not confirmed.");
        return;
    }
    publish(seat, last);
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
                     encode_handover(seat, last.epoch, *ledgers), ignore);
    }
}

void SeatKeeper::lose(const std::string& seat) {
    const std::int64_t epoch = m_held[seat].record.epoch;
    m_state.leases().update(seat, [](SeatLease& lease) { on_seat_lost(lease); });
    log_warning("seats", "Lost seat " + seat + ".");
    m_held.erase(seat);
    if (m_relay.close_seat(seat, DRAIN_LIMIT).has_value()) {
        m_state.leave_seat(seat, epoch);
    }
    m_state.leases().erase(seat);
}

void SeatKeeper::publish(const std::string& seat, const SeatRecord& record) {
    m_state.change_knowledge([&seat, &record](ClusterKnowledge& knowledge, SuspicionList&) {
        return adopt(knowledge, seat, record, monotonic_now());
    });
}

WarmLedgers SeatKeeper::warm_ledgers(const std::string& seat, const SeatRecord& last) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_handovers.find(seat);
    WarmLedgers ledgers;
    if (found != m_handovers.end() && last.released && found->second.epoch == last.epoch) {
        ledgers = found->second.ledgers;
    }
    m_handovers.erase(seat);
    return ledgers;
}

std::vector<SeatUse> SeatKeeper::gone_uses(const std::string& seat, const SeatRecord& record) {
    const Time now = monotonic_now();
    std::vector<SeatUse> gone;
    m_state.change_knowledge(
        [&seat, &record, &gone, now](ClusterKnowledge& knowledge, SuspicionList&) {
            note_missing(knowledge, record.remnants, now);
            gone = known_gone(knowledge, seat, record.remnants, now);
            return false;
        });
    return gone;
}

}  // namespace ebonymount
