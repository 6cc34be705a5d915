#include "front/fleet_watcher.h"

#include <algorithm>
#include <utility>

#include "front/crash_detector.h"
#include "front/store_call.h"
#include "io/http_status.h"
#include "io/log_event.h"

namespace ebonymount {
namespace {

constexpr Duration REGISTRATION_RETRY = from_ms(2000);

/// How long other nodes leave a crash report in the store. The node that wrote it removes it
/// earlier, after `SUSPECT_TTL`, if that node is still running.
constexpr Duration ABANDONED_REPORT_TIME = 2 * SUSPECT_TTL;

/// The store responds within milliseconds; a call that takes longer than this has hit an outage.
constexpr Duration STORE_TIMEOUT = from_ms(1000);

/// True if the store has not answered a call, or has turned it away for a time.
bool is_store_unavailable(CallStatus status, int http_status) {
    return status != CallStatus::answered || http_status >= http::INTERNAL_ERROR ||
           http_status == http::TOO_MANY_REQUESTS;
}

}  // namespace

FleetWatcher::FleetWatcher(FrontState& state, FleetWatcherOptions options,
                           FleetWatcherHandlers handlers)
    : m_state(state),
      m_loop(state.event_loop),
      m_options(std::move(options)),
      m_handlers(std::move(handlers)),
      m_started_at_ms(wall_clock_ms()),
      m_reporter(state, m_options.feed.store_address),
      m_voting(state, m_options.feed.self, m_started_at_ms),
      m_inquiry(state.event_loop, state.metrics),
      m_has_ended_inquiry(m_options.feed.first_start),
      m_is_informed(m_options.feed.first_start),
      m_feed(state.event_loop, state.metrics, feed_options(m_options.feed),
             [this](const KindUpdate& update) { apply_update(update); }) {
    m_state.on_crash = [this](const Crash& crash) {
        report_crash(crash);
    };
    m_state.on_trial_due = [this](const TrialClaim& claim) {
        claim_trial(claim);
    };
    m_state.on_trial_answered = [this](const AnsweredRequest& answered) {
        m_voting.announce(answered);
    };
    m_state.on_crash_refuted = [this](const std::string& report) {
        m_counted_reports.erase(report);
        if (parse_crash_report(report).has_value()) {
            on_withdrawn(m_lost_reports, report, true, monotonic_now());
        }
        m_reporter.withdraw(report);
    };
    // The list of nodes shows whether this node is registered already. On the first start of the
    // deployment no node is, so this one registers at once.
    m_next_registration =
        m_options.feed.first_start ? Time{} : monotonic_now() + REGISTRATION_RETRY;
}

FleetWatcher::~FleetWatcher() = default;

StoreFeedOptions FleetWatcher::feed_options(StoreFeedOptions options) {
    options.on_peer_call = [this](const std::string& path, const std::string& body) {
        return path == STATE_INQUIRY_PATH ? serve_inquiry(body) : m_voting.serve(path, body);
    };
    return options;
}

void FleetWatcher::sweep(Time now) {
    m_feed.sweep(now);
    m_state.store_source = m_feed.report(now);
    m_state.store_source_at = now;
    for (const std::string& id : expire_missing(m_registry, now)) {
        LogEvent(LogLevel::info, "targets", "gone").add("target", id).write();
        rebuild_view();
    }
    accept_unconfirmed_state(now);
    if (!m_registered && now >= m_next_registration) {
        register_node();
    }
    m_state.counters.crash_evidence_unconfirmed +=
        static_cast<std::int64_t>(drop_expired_suspects(m_state.quarantine, now));
    rewrite_lost_reports(now);
    m_reporter.sweep(now);
    m_voting.sweep(now);
    remove_old_reports(now);
}

void FleetWatcher::apply_update(const KindUpdate& update) {
    std::int64_t& era = m_eras.try_emplace(update.kind, UNKNOWN_ERA).first->second;
    era = std::max(era, update.position.era);
    switch (update.kind) {
        case platform::Kind::config:
            apply_config(update);
            return;
        case platform::Kind::targets:
            if (update.is_list) {
                apply_target_list(update);
            } else {
                apply_target_changes(update);
            }
            return;
        case platform::Kind::evacuations:
            apply_evacuations(update);
            return;
        case platform::Kind::nodes:
            apply_nodes(update);
            return;
        case platform::Kind::quarantine:
            apply_crash_reports(update);
            return;
    }
}

void FleetWatcher::apply_config(const KindUpdate& update) {
    for (const platform::StoredObject& object : update.objects) {
        if (platform::is_configuration(object)) {
            take_table(object.spec, update.position);
        }
    }
}

void FleetWatcher::take_table(const std::string& spec, const StorePosition& position) {
    std::vector<std::string> warnings;
    Result<RouteTable> table = platform::decode_config(spec, warnings);
    for (const std::string& warning : warnings) {
        log_warning("config", warning);
    }
    if (!has_value(table)) {
        log_error("config", "invalid configuration, keeping the current version: " +
                                describe(error_of(table)));
        return;
    }
    const TableChange change =
        m_table.has_value() ? compare_tables(*m_table, m_table_era, value_of(table), position.era)
                            : TableChange::newer;
    if (change == TableChange::older) {
        LogEvent(LogLevel::warning, "config", "older_version")
            .add("version", value_of(table).version)
            .add("in_force", m_table->version)
            .add("position", describe(position))
            .write();
        return;
    }
    m_table_era = position.era;
    if (change != TableChange::same) {
        m_table_spec = spec;
        accept_table(std::move(std::get<RouteTable>(table)), change, position);
    }
}

void FleetWatcher::accept_table(RouteTable table, TableChange change,
                                const StorePosition& position) {
    LogEvent(LogLevel::info, "config", "accepted")
        .add("version", table.version)
        .add("before", m_table.has_value() ? m_table->version : -1)
        .add("rewritten", change == TableChange::rewritten ? "yes" : "no")
        .add("routes", static_cast<std::int64_t>(table.routes.size()))
        .add("position", describe(position))
        .add("reader", m_state.store_source.reader)
        .add("reads", m_state.store_source.reads_itself ? "yes" : "no")
        .add_ms("age_ms", m_state.store_source.age)
        .write();
    m_table = std::move(table);
    m_state.counters.config_version = m_table->version;
    m_handlers.on_table(*m_table);
    rebuild_view();
}

void FleetWatcher::apply_target_list(const KindUpdate& list) {
    m_state.targets_updated_at = monotonic_now();
    std::vector<TargetEntry> entries;
    for (const platform::StoredObject& object : list.objects) {
        const Result<TargetEntry> entry = platform::decode_target(object.name, object.spec);
        if (object.deleting || object.removed) {
            continue;
        }
        if (has_value(entry)) {
            check_for_restart(value_of(entry));
            entries.push_back(value_of(entry));
        } else {
            log_warning("targets", "ignored an invalid entry: " + describe(error_of(entry)));
        }
    }
    const ListOrigin origin = list.after_return   ? ListOrigin::after_return
                              : list.after_outage ? ListOrigin::after_outage
                                                  : ListOrigin::regular;
    replace_all(m_registry, entries, origin, monotonic_now(), latest_use_of(list));
    LogEvent(LogLevel::info, "targets", "list")
        .add("entries", static_cast<std::int64_t>(entries.size()))
        .add("missing", static_cast<std::int64_t>(m_registry.missing.size()))
        .add("unconfirmed", static_cast<std::int64_t>(m_registry.unconfirmed.size()))
        .add("after_outage", list.after_outage ? "yes" : "no")
        .add("after_return", list.after_return ? "yes" : "no")
        .write();
    m_has_targets = true;
    rebuild_view();
}

Time FleetWatcher::latest_use_of(const KindUpdate& update) const {
    return update.made_after.has_value() ? latest_use(*update.made_after, m_options.feed.drain)
                                         : Time::max();
}

void FleetWatcher::apply_target_changes(const KindUpdate& changes) {
    const std::int64_t generation_before = m_registry.generation;
    m_state.targets_updated_at = monotonic_now();
    const Time latest = latest_use_of(changes);
    for (const platform::StoredObject& object : changes.objects) {
        if (object.removed || object.deleting) {
            remove(m_registry, object.name, monotonic_now(), latest);
            LogEvent(LogLevel::info, "targets", "entry_removed").add("target", object.name).write();
            continue;
        }
        const Result<TargetEntry> entry = platform::decode_target(object.name, object.spec);
        if (!has_value(entry)) {
            // The entry no longer describes a usable target. `apply_target_list` leaves such an
            // entry out, too.
            log_warning("targets", "ignored an invalid entry: " + describe(error_of(entry)));
            remove(m_registry, object.name, monotonic_now(), latest);
            continue;
        }
        check_for_restart(value_of(entry));
        upsert(m_registry, value_of(entry));
        LogEvent(LogLevel::info, "targets", "entry")
            .add("target", object.name)
            .add("service", value_of(entry).service)
            .add("draining", value_of(entry).draining ? "yes" : "no")
            .add_ms("cold_ms", value_of(entry).cold_remaining)
            .add("revision", object.revision)
            .write();
    }
    if (m_registry.generation != generation_before) {
        rebuild_view();
    }
}

void FleetWatcher::check_for_restart(const TargetEntry& entry) {
    const auto target = m_state.targets.by_id.find(entry.id);
    if (target != m_state.targets.by_id.end() && is_of_later_start(m_registry, entry)) {
        on_crash_evidence(m_state, target->second, "restarted");
    }
}

void FleetWatcher::apply_evacuations(const KindUpdate& update) {
    std::vector<std::string> listed;
    for (const platform::StoredObject& object : update.objects) {
        const bool is_in_service = object.removed || object.deleting;
        if (is_in_service) {
            put_back(m_out_of_service, object.name);
        } else {
            take_out(m_out_of_service, object.name);
            listed.push_back(object.name);
        }
        LogEvent(LogLevel::info, "targets", "data_centre")
            .add("data_centre", object.name)
            .add("in_service", is_in_service ? "yes" : "no")
            .add("revision", object.revision)
            .write();
    }
    if (update.is_list) {
        replace_all(m_out_of_service, listed, update.after_return, monotonic_now());
    }
    m_has_evacuations = true;
    rebuild_view();
}

void FleetWatcher::accept_unconfirmed_state(Time now) {
    for (const std::string& id : accept_unconfirmed(m_registry, now)) {
        LogEvent(LogLevel::info, "targets", "unconfirmed_entry_used").add("target", id).write();
        rebuild_view();
    }
    for (const std::string& data_centre : expire_unconfirmed(m_out_of_service, now)) {
        LogEvent(LogLevel::info, "targets", "data_centre")
            .add("data_centre", data_centre)
            .add("in_service", "yes")
            .add("reason", "not written again after the store's return")
            .write();
        rebuild_view();
    }
}

void FleetWatcher::apply_nodes(const KindUpdate& list) {
    std::vector<Member> listed;
    for (const platform::StoredObject& object : list.objects) {
        listed.push_back(platform::decode_registration(object));
    }
    const Member& self = m_options.feed.self;
    const auto own = std::find_if(listed.begin(), listed.end(), [&self](const Member& member) {
        return member.node == self.node;
    });
    m_name_is_taken = own != listed.end();
    m_registered = m_name_is_taken && *own == self;
    m_next_registration = Time{};
    replace_all(m_known_nodes, listed, list.after_return, monotonic_now());
    std::vector<Member> members;
    std::vector<std::string> registered;
    for (const auto& [name, member] : m_known_nodes.members) {
        members.push_back(member);
        registered.push_back(name);
    }
    m_voting.set_members(members);
    const std::vector<std::string> names = names_in_group(std::move(registered), self.node);
    if (names == m_node_names) {
        return;
    }
    LogEvent(LogLevel::info, "front", "nodes")
        .add("nodes", static_cast<std::int64_t>(names.size()))
        .add("before", static_cast<std::int64_t>(m_node_names.size()))
        .write();
    m_node_names = names;
    m_handlers.on_nodes(names);
}

void FleetWatcher::apply_crash_reports(const KindUpdate& update) {
    const Time now = monotonic_now();
    std::set<std::string> listed;
    for (const platform::StoredObject& object : update.objects) {
        on_written(m_lost_reports, object.name);
        const std::optional<TrialClaim> claim = parse_trial_claim(object.name);
        if (claim.has_value()) {
            listed.insert(object.name);
            apply_trial_claim(object, *claim);
            continue;
        }
        const std::optional<Crash> crash = platform::decode_crash_report(object);
        if (!crash.has_value()) {
            continue;
        }
        if (object.removed) {
            on_withdrawn(m_lost_reports, object.name, false, now);
            forget_report(object.name, crash->request);
            continue;
        }
        if (is_withdrawn(m_lost_reports, object.name)) {
            // An older copy of the store has it again.
            if (update.after_return && is_withdrawn_by_self(m_lost_reports, object.name)) {
                m_reporter.withdraw(object.name);
            }
            continue;
        }
        listed.insert(object.name);
        // A list repeats reports that were received as changes before; each report counts once.
        if (m_counted_reports.emplace(object.name, now + ABANDONED_REPORT_TIME).second) {
            add_crash(m_state.quarantine, object.name, *crash, now);
        }
    }
    if (update.after_return) {
        keep_lost_reports(listed);
    }
    if (update.is_list) {
        forget_unlisted_reports(listed);
    }
}

void FleetWatcher::keep_lost_reports(const std::set<std::string>& listed) {
    // A claim that is lost before its trial was used is void: another node may have the number now.
    for (const TrialClaim& claim : void_unused_trials(m_state.trials, listed)) {
        m_own_claims.erase(trial_claim_name(claim));
        m_counted_reports.erase(trial_claim_name(claim));
    }
    std::vector<KnownReport> known;
    for (const auto& [name, expires] : m_counted_reports) {
        const std::optional<CrashReport> report = parse_crash_report(name);
        const bool is_own = report.has_value() ? report->node == m_options.feed.self.node
                                               : m_own_claims.count(name) > 0;
        known.push_back({name, is_own});
    }
    on_return(m_lost_reports, known, listed, m_random, monotonic_now());
    LogEvent(LogLevel::warning, "quarantine", "reports_lost")
        .add("known", static_cast<std::int64_t>(known.size()))
        .add("lost", static_cast<std::int64_t>(m_lost_reports.due.size()))
        .write();
}

void FleetWatcher::rewrite_lost_reports(Time now) {
    for (const std::string& name : take_due(m_lost_reports, now)) {
        const std::optional<TrialClaim> claim = parse_trial_claim(name);
        if (claim.has_value() && m_own_claims.count(name) > 0) {
            m_reporter.add_claim(*claim, m_options.feed.self.node);
        } else if (claim.has_value()) {
            // Its owner is gone, or has not used it.
            m_counted_reports.erase(name);
            remove_claim(m_state.trials, *claim);
        }
        const Crash* const crash = find_crash(m_state.quarantine, name);
        if (crash != nullptr && !m_reporter.is_queued(name)) {
            ++m_state.counters.crash_reports_rewritten;
            m_reporter.add(name, *crash);
        }
    }
}

void FleetWatcher::apply_trial_claim(const platform::StoredObject& object,
                                     const TrialClaim& claim) {
    const Time now = monotonic_now();
    if (object.removed) {
        m_counted_reports.erase(object.name);
        m_own_claims.erase(object.name);
        remove_claim(m_state.trials, claim);
    } else if (m_counted_reports.emplace(object.name, now + ABANDONED_REPORT_TIME).second) {
        add_claim(m_state.trials, claim, now);
    }
}

void FleetWatcher::forget_report(const std::string& name, std::uint64_t request) {
    m_counted_reports.erase(name);
    remove_crash(m_state.quarantine, name, request);
}

void FleetWatcher::forget_unlisted_reports(const std::set<std::string>& listed) {
    std::vector<CrashReport> withdrawn;
    std::vector<TrialClaim> withdrawn_claims;
    for (const auto& [name, expires] : m_counted_reports) {
        const std::optional<TrialClaim> claim = parse_trial_claim(name);
        const bool is_missing = listed.count(name) == 0 && !is_lost(m_lost_reports, name) &&
                                !m_reporter.is_queued(name);
        if (claim.has_value() && is_missing) {
            withdrawn_claims.push_back(*claim);
        }
        const std::optional<CrashReport> report = parse_crash_report(name);
        // A report of this node may still be on its way to the store.
        if (report.has_value() && report->node != m_options.feed.self.node && is_missing) {
            withdrawn.push_back(*report);
        }
    }
    for (const CrashReport& report : withdrawn) {
        forget_report(crash_report_name(report), report.request);
    }
    for (const TrialClaim& claim : withdrawn_claims) {
        m_counted_reports.erase(trial_claim_name(claim));
        m_own_claims.erase(trial_claim_name(claim));
        remove_claim(m_state.trials, claim);
    }
}

void FleetWatcher::report_crash(const Crash& crash) {
    const Time now = monotonic_now();
    const std::string name = crash_report_name(
        {crash.request, m_options.feed.self.node, m_started_at_ms, ++m_reported_crashes});
    m_counted_reports.emplace(name, now + SUSPECT_TTL);
    add_crash(m_state.quarantine, name, crash, now);
    m_reporter.add(name, crash);
}

void FleetWatcher::claim_trial(const TrialClaim& claim) {
    const std::string name = trial_claim_name(claim);
    call_store("POST", platform::create_path(platform::Kind::quarantine),
               platform::trial_claim_body(claim, m_options.feed.self.node),
               [this, claim, name](CallStatus status, const HttpResponseMessage& response) {
                   const bool is_granted =
                       status == CallStatus::answered &&
                       (response.status == http::OK || response.status == http::CREATED);
                   if (is_granted || response.status == http::CONFLICT) {
                       const Time now = monotonic_now();
                       m_counted_reports.emplace(name, now + SUSPECT_TTL);
                       add_claim(m_state.trials, claim, now);
                   }
                   if (is_granted) {
                       m_own_claims.insert(name);
                   }
                   LogEvent(LogLevel::info, "quarantine", "trial_claim")
                       .add("fingerprint", std::to_string(claim.request))
                       .add("number", claim.number)
                       .add("granted", is_granted ? "yes" : "no")
                       .add("outcome", name_of(status))
                       .add("status", response.status)
                       .write();
                   if (is_store_unavailable(status, response.status)) {
                       ask_for_trial(claim);
                   } else {
                       end_claim(m_state.trials, claim, is_granted);
                   }
               });
}

void FleetWatcher::ask_for_trial(const TrialClaim& claim) {
    m_voting.ask(claim.request, [this, claim](bool is_won) {
        const Time now = monotonic_now();
        const std::optional<TrialClaim> voted =
            is_won ? grant_by_vote(m_state.trials, claim, now) : std::nullopt;
        if (!voted.has_value()) {
            fail_claim(m_state.trials, claim, now);
            return;
        }
        m_counted_reports.emplace(trial_claim_name(*voted), now + SUSPECT_TTL);
        m_own_claims.insert(trial_claim_name(*voted));
        m_reporter.add_claim(*voted, m_options.feed.self.node);
    });
}

void FleetWatcher::remove_old_reports(Time now) {
    for (auto report = m_counted_reports.begin(); report != m_counted_reports.end();) {
        if (now < report->second) {
            ++report;
            continue;
        }
        // Another node may have removed it already. If the call fails, other nodes remove the
        // report later, after `ABANDONED_REPORT_TIME`.
        call_store("DELETE", platform::object_path(platform::Kind::quarantine, report->first), "",
                   [](CallStatus, const HttpResponseMessage&) {});
        m_own_claims.erase(report->first);
        const std::optional<TrialClaim> claim = parse_trial_claim(report->first);
        if (claim.has_value()) {
            remove_claim(m_state.trials, *claim);
        } else {
            on_withdrawn(m_lost_reports, report->first, true, now);
        }
        report = m_counted_reports.erase(report);
    }
}

void FleetWatcher::rebuild_view() {
    if (!m_table.has_value() || !m_has_targets || !m_has_evacuations || m_view_rebuild_pending) {
        return;
    }
    if (!m_has_ended_inquiry) {
        begin_inquiry();
        return;
    }
    m_view_rebuild_pending = true;
    // Changes often arrive together; the view is rebuilt once for all of them.
    m_loop.post([this] {
        m_view_rebuild_pending = false;
        const FleetInputs inputs{*m_table, m_registry, m_out_of_service.data_centres,
                                 m_options.regions};
        m_state.view = make_view(inputs, m_state.services, m_state.targets, monotonic_now());
        m_state.budgets.resize(m_state.services.size());
        m_state.registry_generation = m_registry.generation;
    });
}

void FleetWatcher::begin_inquiry() {
    if (std::exchange(m_has_begun_inquiry, true)) {
        return;
    }
    std::vector<std::string> addresses;
    for (const auto& [name, member] : m_known_nodes.members) {
        if (name != m_options.feed.self.node && !member.address.empty()) {
            addresses.push_back(member.address);
        }
    }
    if (addresses.empty()) {
        addresses = m_options.feed.initial_peers;
        std::erase(addresses, m_options.feed.self.address);
    }
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    addresses.resize(std::min(addresses.size(), INQUIRED_NODES));
    const std::int64_t era = m_eras[platform::Kind::targets];
    m_inquiry.begin(addresses, era, [this](const std::optional<UnconfirmedState>& state) {
        m_has_ended_inquiry = true;
        m_is_informed = state.has_value();
        LogEvent(LogLevel::info, "store", "state_inquiry")
            .add("answered", m_is_informed ? "yes" : "no")
            .add("targets", static_cast<std::int64_t>(m_is_informed ? state->targets.size() : 0))
            .add("data_centres",
                 static_cast<std::int64_t>(m_is_informed ? state->data_centres.size() : 0))
            .add("config", m_is_informed && !state->config.empty() ? "yes" : "no")
            .write();
        if (m_is_informed) {
            apply_inquired_state(*state);
        }
        rebuild_view();
    });
}

void FleetWatcher::apply_inquired_state(const UnconfirmedState& state) {
    const Time now = monotonic_now();
    for (const auto& [id, left] : state.targets) {
        withhold(m_registry, id, now + left);
    }
    for (const auto& [data_centre, left] : state.data_centres) {
        keep_out(m_out_of_service, data_centre, now + left);
    }
    if (!state.config.empty()) {
        take_table(state.config, {state.config_era, 0});
    }
}

bool FleetWatcher::knows_lost_state(Time now) const {
    return m_is_informed || now - m_started_at > OPERATOR_REWRITE_TIME;
}

std::optional<std::string> FleetWatcher::serve_inquiry(const std::string& body) const {
    const std::optional<std::int64_t> era = decode_state_request(body);
    if (!era.has_value()) {
        return std::nullopt;
    }
    const Time now = monotonic_now();
    if (!m_has_ended_inquiry || !knows_lost_state(now)) {
        return encode(StateAnswer{});
    }
    for (const platform::Kind kind :
         {platform::Kind::config, platform::Kind::targets, platform::Kind::evacuations}) {
        const auto read = m_eras.find(kind);
        if (read == m_eras.end() || read->second < *era) {
            return encode(StateAnswer{StateAnswer::Status::not_yet, {}});
        }
    }
    return encode(StateAnswer{StateAnswer::Status::complete, unconfirmed_state(now)});
}

UnconfirmedState FleetWatcher::unconfirmed_state(Time now) const {
    UnconfirmedState state;
    for (const auto& [id, waiting] : m_registry.unconfirmed) {
        state.targets[id] = std::max(waiting.until - now, Duration::zero());
    }
    for (const auto& [data_centre, until] : m_out_of_service.unconfirmed) {
        state.data_centres[data_centre] = std::max(until - now, Duration::zero());
    }
    if (m_table.has_value() && m_table_era < m_eras.at(platform::Kind::config)) {
        state.config = m_table_spec;
        state.config_era = m_table_era;
    }
    return state;
}

void FleetWatcher::call_store(const std::string& method, const std::string& path,
                              const std::string& body, CallHandler on_end) {
    ebonymount::call_store(m_loop,
                           {m_options.feed.store_address, method, path, body, STORE_TIMEOUT},
                           std::move(on_end));
}

void FleetWatcher::register_node() {
    m_next_registration = monotonic_now() + REGISTRATION_RETRY;
    const Member& self = m_options.feed.self;
    // An earlier node with this name may have had another address.
    const std::string path = m_name_is_taken
                                 ? platform::object_path(platform::Kind::nodes, self.node)
                                 : platform::create_path(platform::Kind::nodes);
    call_store(m_name_is_taken ? "PUT" : "POST", path, platform::registration_body(self),
               [this](CallStatus status, const HttpResponseMessage& response) {
                   m_name_is_taken = m_name_is_taken || response.status == http::CONFLICT;
                   m_registered = status == CallStatus::answered &&
                                  (response.status == http::OK || response.status == http::CREATED);
                   LogEvent(LogLevel::info, "front", "registered")
                       .add("outcome", name_of(status))
                       .add("status", response.status)
                       .write();
               });
}

}  // namespace ebonymount
