#include <algorithm>
#include <map>

#include "base/check.h"
#include "io/json_reader.h"
#include "policy/gather.h"
#include "scenario/script.h"

namespace ebonymount {
namespace {

/// Seed of the random source. The outcomes that scripts expect do not depend on it.
constexpr std::uint64_t SEED = 1;

/// Attempt statuses that a script can name.
const std::vector<AttemptStatus>& all_statuses() {
    static const std::vector<AttemptStatus> all = {
        AttemptStatus::answered,   AttemptStatus::rejected,         AttemptStatus::overloaded,
        AttemptStatus::not_owner,  AttemptStatus::out_of_service,   AttemptStatus::unreachable,
        AttemptStatus::shed,       AttemptStatus::snapshot_missing, AttemptStatus::target_lost,
        AttemptStatus::relay_lost, AttemptStatus::timed_out,        AttemptStatus::cancelled};
    return all;
}

AttemptStatus status_from(const std::string& name) {
    for (const AttemptStatus status : all_statuses()) {
        if (name == name_of(status)) {
            return status;
        }
    }
    throw UserError("unknown status \"" + name + "\"");
}

Verdict default_verdict(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::answered:
            return Verdict::ran;
        case AttemptStatus::target_lost:
        case AttemptStatus::relay_lost:
        case AttemptStatus::timed_out:
        case AttemptStatus::cancelled:
            return Verdict::may_have_run;
        default:
            return Verdict::not_run;
    }
}

QuarantineState quarantine_state_from(const std::string& name) {
    if (name == "clear") {
        return QuarantineState::clear;
    }
    if (name == "suspect") {
        return QuarantineState::suspect;
    }
    user_check(name == "convicted") << "unknown standing \"" << name << "\"";
    return QuarantineState::quarantined;
}

/// One request driven by a script.
class GatherDriver {
public:
    GatherDriver(const Json& script, const std::string& disabled_mechanism);

    /// Runs all steps and returns the differences from the expected outcomes.
    std::vector<std::string> run(const Json& steps);

private:
    void read_placement(const Json& placement);
    void read_row(const Json& row, const std::string& disabled_mechanism);
    void run_to(Time time);
    void run_step(const Json& step);
    void begin(const Json& document);
    void deliver_outcome(const Json& document);
    void dispatch(const GatherEvent& event);
    void expect(const Json& document);
    void compare(const std::string& what, const Json& expected, const Json& found);
    const SendAttempt* last_sent(const std::string& name) const;
    GatherContext context();

    RoutingView m_view;
    ServiceRow m_row;
    std::string m_data_centre;
    Duration m_hedge_delay{};
    RetryBudget m_budget;
    LatencyEstimates m_latency_estimates;
    LatencyHistogram m_latencies;
    GatherState m_state;
    QuarantineState m_quarantine_state = QuarantineState::clear;
    Random m_random{SEED};
    Time m_start = Time{} + from_ms(1000);
    Time m_now = m_start;
    /// Attempts in the order in which they were sent, named "shard@target".
    std::vector<std::pair<std::string, SendAttempt>> m_sent;
    std::vector<std::string> m_cancelled;
    std::optional<GatherOutcome> m_outcome;
    std::optional<Duration> m_ended_after;
    std::vector<std::string> m_differences;
};

GatherDriver::GatherDriver(const Json& script, const std::string& disabled_mechanism) {
    JsonReader reader(script, "script");
    m_row.service = "svc";
    m_data_centre = reader.text_or("data_centre", "x");
    m_hedge_delay = from_ms(reader.integer_or("hedge_delay_ms", 0, 60000, 10));
    read_placement(reader.member("placement"));
    if (const Json* row = reader.find("row")) {
        read_row(*row, disabled_mechanism);
    }
    for (const std::string& data_centre : reader.texts("out_data_centres")) {
        m_view.configuration.out_of_service_data_centres.push_back(data_centre);
    }
    if (disabled_mechanism == "take_out") {
        m_view.configuration.out_of_service_data_centres.clear();
    }
    if (disabled_mechanism == "budget") {
        m_budget.milli_tokens = 1'000'000;
    } else {
        m_budget.milli_tokens = reader.integer_or("tokens", 0, 1000, 2) * 1000;
    }
    if (disabled_mechanism == "hedging") {
        m_hedge_delay = Duration::zero();
    }
}

void GatherDriver::read_placement(const Json& document) {
    Json complete_document = document;
    complete_document["service"] = "svc";
    complete_document["version"] = 1;
    const Result<Placement> placement = placement_from(complete_document);
    user_check(has_value(placement)) << describe(error_of(placement));
    m_view.placements["svc"] = value_of(placement);
}

void GatherDriver::read_row(const Json& row, const std::string& disabled_mechanism) {
    for (const auto& [name, value] : row.items()) {
        const Column* column = find_column(name);
        user_check(column != nullptr) << "unknown column \"" << name << "\" in row";
        m_row.*column->member = value.get<std::int64_t>();
    }
    if (disabled_mechanism == "enough_coverage") {
        m_row.enough_coverage_permille = 1000;
    }
}

std::vector<std::string> GatherDriver::run(const Json& steps) {
    for (const Json& step : steps) {
        run_step(step);
    }
    return m_differences;
}

GatherContext GatherDriver::context() {
    return {m_view,
            m_row,
            m_data_centre,
            m_hedge_delay,
            m_quarantine_state,
            m_budget,
            m_latency_estimates,
            m_latencies};
}

/// Advances virtual time to `time` and delivers each tick that becomes due until then.
void GatherDriver::run_to(Time time) {
    while (m_state.started != Time{} && !m_outcome.has_value()) {
        const Time tick = std::max(m_now, next_tick(m_state, context()));
        if (tick > time) {
            break;
        }
        m_now = tick;
        dispatch(TickEvent{});
    }
    m_now = std::max(m_now, time);
}

void GatherDriver::run_step(const Json& document) {
    JsonReader reader(document, "step");
    const std::int64_t now_ms = (m_now - m_start).count() / 1000;
    run_to(m_start + from_ms(reader.integer_or("at_ms", 0, 3'600'000, now_ms)));
    if (const Json* begin_step = reader.find("begin")) {
        begin(*begin_step);
    }
    if (const Json* outcome = reader.find("outcome")) {
        deliver_outcome(*outcome);
    }
    if (const Json* expected = reader.find("expect")) {
        expect(*expected);
    }
    reader.text_or("note", "");
    reader.finish();
}

void GatherDriver::begin(const Json& document) {
    JsonReader reader(document, "begin");
    m_state.request.service = "svc";
    m_state.request.idempotent = reader.boolean_or("idempotent", true);
    m_state.request.time_limit = from_ms(reader.integer_or("allowed_ms", 0, 60000, 60000));
    m_quarantine_state = quarantine_state_from(reader.text_or("standing", "clear"));
    reader.finish();
    dispatch(BeginEvent{});
}

/// The most recent attempt of that name, or null.
const SendAttempt* GatherDriver::last_sent(const std::string& name) const {
    for (auto item = m_sent.rbegin(); item != m_sent.rend(); ++item) {
        if (item->first == name) {
            return &item->second;
        }
    }
    return nullptr;
}

void GatherDriver::deliver_outcome(const Json& document) {
    JsonReader reader(document, "outcome");
    const SendAttempt* found = last_sent(reader.text("of"));
    if (found == nullptr) {
        m_differences.push_back("no attempt was sent as " + reader.text("of"));
        return;
    }
    const SendAttempt sent = *found;
    AttemptOutcome outcome;
    outcome.attempt = sent.attempt;
    outcome.status = status_from(reader.text("status"));
    outcome.verdict = default_verdict(outcome.status);
    outcome.snapshot = reader.text_or("snapshot", sent.snapshot);
    const Snapshot* snapshot = find_snapshot(m_view.placements.at("svc"), sent.snapshot);
    for (const Shard& shard : snapshot->shards) {
        if (shard.id == sent.shard) {
            outcome.digest = reader.text_or("digest", shard.digest);
        }
    }
    outcome.result = reader.text_or("result", sent.shard);
    reader.finish();
    dispatch(outcome);
}

void GatherDriver::dispatch(const GatherEvent& event) {
    for (const GatherAction& action : step(m_state, event, context(), m_now, m_random)) {
        if (const SendAttempt* send = std::get_if<SendAttempt>(&action)) {
            m_sent.emplace_back(send->shard + "@" + send->target, *send);
        } else if (const CancelAttempt* cancel = std::get_if<CancelAttempt>(&action)) {
            m_cancelled.push_back(cancel->target);
        } else if (const ChangeQuarantineState* change =
                       std::get_if<ChangeQuarantineState>(&action)) {
            m_quarantine_state = change->quarantine_state;
        } else if (const Finish* finish = std::get_if<Finish>(&action)) {
            m_outcome = finish->outcome;
            m_ended_after = m_now - m_start;
        }
    }
}

void GatherDriver::compare(const std::string& what, const Json& expected, const Json& found) {
    if (expected != found) {
        m_differences.push_back("at " + std::to_string((m_now - m_start).count() / 1000) + " ms " +
                                what + " is " + found.dump() + ", expected " + expected.dump());
    }
}

void GatherDriver::expect(const Json& document) {
    const GatherOutcome outcome = m_outcome.value_or(GatherOutcome{});
    std::vector<std::string> sent;
    for (const auto& [name, attempt] : m_sent) {
        sent.push_back(name);
    }
    std::vector<std::string> results;
    for (const std::optional<std::string>& result : outcome.results) {
        results.push_back(result.value_or(""));
    }
    std::vector<std::string> cancelled = m_cancelled;
    std::sort(cancelled.begin(), cancelled.end());
    const Json found = {
        {"sent", sent},
        {"sent_count", sent.size()},
        {"cancelled", cancelled},
        {"end", m_outcome.has_value() ? name_of(outcome.status) : "running"},
        {"verdict", name_of(outcome.verdict)},
        {"snapshot", outcome.snapshot},
        {"coverage_permille", permille(outcome.coverage)},
        {"shards_answered", outcome.coverage.shards_answered},
        {"results", results},
        {"extra", m_budget.extra},
        {"standing", static_cast<int>(m_quarantine_state)},
        {"ended_after_ms", m_ended_after.has_value() ? m_ended_after->count() / 1000 : -1},
        {"late_answers", m_state.late_responses}};
    for (const auto& [what, expected] : document.items()) {
        user_check(found.contains(what)) << "unknown member \"" << what << "\" in expect";
        compare(what, expected, found.at(what));
    }
}

}  // namespace

std::vector<std::string> run_gather_script(const Json& script,
                                           const std::string& disabled_mechanism) {
    static const std::vector<std::string> mechanisms = {"", "hedging", "budget", "take_out",
                                                        "enough_coverage"};
    user_check(std::find(mechanisms.begin(), mechanisms.end(), disabled_mechanism) !=
               mechanisms.end())
        << "unknown mechanism \"" << disabled_mechanism << "\" in twin";
    GatherDriver driver(script, disabled_mechanism);
    return driver.run(script.at("steps"));
}

}  // namespace ebonymount
