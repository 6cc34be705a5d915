#include "policy/target_state.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace ebonymount {
namespace {

/// Service time of a target that has not answered yet, microseconds.
constexpr double PRIOR_PACE_US = 12000.0;

/// Time in which a learned pace loses half of its distance to the prior, microseconds; a target
/// that was slow is tried again after a few of these.
constexpr double PACE_HALF_LIFE_US = 3e6;

/// Time in which a failure share halves, microseconds: a target that failed is tried again after a
/// few of these, also when another one took all its work meanwhile.
constexpr double FAILURE_HALF_LIFE_US = 3e6;

/// Weight of requests ahead relative to the slots: other nodes' requests are seen late or not.
constexpr double QUEUE_WEIGHT = 1.5;

/// Least part of a measured time that counts as spent at the target.
constexpr double LEAST_TARGET_SHARE = 0.3;

/// Weight of one sample in pace and refusal share.
constexpr double SAMPLE_WEIGHT = 0.2;

/// Round trips to another data centre of the region, and to another region, microseconds.
constexpr double OTHER_DATA_CENTRE_US = 9000.0;
constexpr double OTHER_REGION_US = 17000.0;

/// Wait at a near target that is worth the bytes to another region, microseconds: operators pay
/// for those bytes, callers hardly notice the wait.
constexpr double REGION_BYTES_US = 15000.0;

/// Time that a target takes to accept a connection, microseconds, beside one more way there and
/// back.
constexpr double CONNECT_US = 6000.0;

/// Reports of the queue length older than this say nothing, milliseconds.
constexpr Duration REPORT_AGE = from_ms(300);

/// A target that has answered nothing for this long while it had work counts as stalled.
constexpr Duration STALL_TIME = from_ms(40);

/// Expected rest of a stall, microseconds: pauses last 150 to 200 ms.
constexpr double STALL_US = 100000.0;

/// First and longest pause before an unreachable target is tried again.
constexpr Duration FIRST_RETRY = from_ms(250);
constexpr std::int64_t MOST_RETRY_DOUBLINGS = 3;

constexpr Duration COLD_WINDOW = from_ms(1000);

/// Part of a target's connection cap that nodes use together: the target lowers the cap while
/// its queue is long.
constexpr double CONNECTION_SHARE = 0.8;

/// Idle connections of all nodes together may take this part of a target's cap. Where there are
/// more nodes, those of its region keep one, and a third of the others: a target then has room for
/// the third of the nodes that needs it most after a loss of power.
constexpr double IDLE_SHARE = 0.6;
constexpr std::uint64_t IDLE_DRAWS = 300;

/// Pause before a new connection after one was rejected.
constexpr Duration REJECTED_PAUSE = from_ms(400);

/// Part of what a cold target bears that nodes use together, as their windows do not coincide.
constexpr double COLD_SHARE = 0.5;

double drifted_pace(const TargetState& state, Time now) {
    const double age = static_cast<double>((now - state.service_time_updated_at).count());
    const double kept = std::exp2(-std::max(age, 0.0) / PACE_HALF_LIFE_US);
    return PRIOR_PACE_US + (state.service_time_us - PRIOR_PACE_US) * kept;
}

double faded_failure_share(const TargetState& state, Time now) {
    const double age = static_cast<double>((now - state.failure_learned).count());
    return state.failure_share * std::exp2(-std::max(age, 0.0) / FAILURE_HALF_LIFE_US);
}

void add_outcome(TargetState& state, bool failed, Time now) {
    const double share = faded_failure_share(state, now);
    state.failure_share = share + SAMPLE_WEIGHT * ((failed ? 1.0 : 0.0) - share);
    state.failure_learned = now;
}

double way_us(const TargetState& state) {
    if (state.same_data_centre) {
        return 0.0;
    }
    return state.same_region ? OTHER_DATA_CENTRE_US : OTHER_REGION_US;
}

/// How many times its own service time a request takes behind `ahead` others.
double queue_factor(const TargetState& state, std::int64_t ahead) {
    const double slots = static_cast<double>(std::max<std::int64_t>(1, state.entry.slots));
    return 1.0 + QUEUE_WEIGHT * static_cast<double>(ahead) / slots;
}

/// Learns the service time from the time that an answer took, without way and queue.
void add_pace(TargetState& state, Duration took, std::int64_t ahead, Time now) {
    const double whole = static_cast<double>(took.count());
    const double at_target = std::max(whole - way_us(state), whole * LEAST_TARGET_SHARE);
    const double sample = at_target / queue_factor(state, ahead);
    const double pace = drifted_pace(state, now);
    state.service_time_us = pace + SAMPLE_WEIGHT * (sample - pace);
    state.service_time_updated_at = now;
}

void end_one(TargetState& state) {
    state.outstanding = std::max<std::int64_t>(0, state.outstanding - 1);
}

std::int64_t cold_limit(const TargetTable& table, double cold_per_second) {
    const double whole =
        cold_per_second * table.cold_overrun + static_cast<double>(table.cold_slack);
    return static_cast<std::int64_t>(whole * COLD_SHARE /
                                     static_cast<double>(std::max<std::int64_t>(1, table.nodes)));
}

std::int64_t connection_share(const TargetTable& table, const TargetState& state) {
    const double share = static_cast<double>(state.max_connections) * CONNECTION_SHARE /
                         static_cast<double>(std::max<std::int64_t>(1, table.nodes));
    return std::max<std::int64_t>(1, std::llround(share));
}

}  // namespace

TargetIndex index_of(TargetTable& table, const std::string& id) {
    const auto found = table.by_id.find(id);
    if (found != table.by_id.end()) {
        return found->second;
    }
    const TargetIndex index = static_cast<TargetIndex>(table.states.size());
    table.states.emplace_back();
    table.states.back().service_time_us = PRIOR_PACE_US;
    table.by_id.emplace(id, index);
    return index;
}

void update_entry(TargetTable& table, TargetIndex index, const TargetEntry& entry, Time now) {
    TargetState& state = table.states[index];
    const bool restarted =
        entry.started_at_ms != state.entry.started_at_ms || entry.address != state.entry.address;
    if (restarted) {
        const std::int64_t outstanding = state.outstanding;
        const std::int64_t connections = state.connections;
        const std::int64_t idle = state.idle_connections;
        state = TargetState{};
        state.service_time_us = PRIOR_PACE_US;
        state.outstanding = outstanding;
        state.connections = connections;
        state.idle_connections = idle;
    }
    if (restarted || entry.cold_remaining != state.entry.cold_remaining) {
        state.cold_until = now + entry.cold_remaining;
    }
    state.entry = entry;
    state.same_data_centre = entry.data_centre == table.own_data_centre;
}

void on_sent(TargetState& state, Time now) {
    if (state.outstanding == 0) {
        state.waiting_since = now;
    }
    ++state.outstanding;
}

void on_answer(TargetState& state, Duration took, std::int64_t ahead, Time now) {
    end_one(state);
    add_pace(state, took, ahead, now);
    state.waiting_since = now;
    state.failures = 0;
    state.unreachable_until = Time{};
    state.refusal_share -= SAMPLE_WEIGHT * state.refusal_share;
    add_outcome(state, false, now);
}

void on_target_error(TargetState& state, Duration took, std::int64_t ahead, Time now) {
    on_answer(state, took, ahead, now);
    // Outweighs the success that was just counted.
    add_outcome(state, true, now);
}

void on_refusal(TargetState& state, Time now) {
    end_one(state);
    state.waiting_since = now;
    state.failures = 0;
    state.refusal_share += SAMPLE_WEIGHT * (1.0 - state.refusal_share);
}

void on_failure(TargetState& state, bool reached, Duration cold_start, Time now) {
    end_one(state);
    ++state.failures;
    if (reached) {
        add_outcome(state, true, now);
    }
    // A broken connection alone may be one lost answer; two in a row look like a crash.
    if (reached && state.failures < 2) {
        return;
    }
    const std::int64_t doublings = std::min(state.failures - 1, MOST_RETRY_DOUBLINGS);
    state.unreachable_until =
        now + FIRST_RETRY * (std::int64_t{1} << std::max<std::int64_t>(0, doublings));
    // Whatever comes back at that address has started anew.
    state.cold_until = std::max(state.cold_until, state.unreachable_until + cold_start);
}

void on_connection_rejected(TargetState& state, Time now) {
    state.connect_again_at = now + REJECTED_PAUSE;
}

void on_abandoned(TargetState& state, Duration waited, std::int64_t ahead, Time now) {
    end_one(state);
    const double expected = drifted_pace(state, now) * queue_factor(state, ahead) + way_us(state);
    if (static_cast<double>(waited.count()) > expected) {
        add_pace(state, waited, ahead, now);
    }
}

void on_cold_report(TargetState& state, Duration remaining, Time now) {
    state.cold_until = now + remaining;
}

void on_load_report(TargetState& state, std::int64_t waiting, Time now) {
    state.reported_waiting = waiting;
    state.reported_at = now;
}

std::int64_t requests_ahead(const TargetState& state, Time now) {
    const bool is_recent = now - state.reported_at < REPORT_AGE;
    return is_recent ? std::max(state.outstanding, state.reported_waiting) : state.outstanding;
}

double expected_us(const TargetState& state, const AttemptCosts& costs, Time now) {
    double expected = drifted_pace(state, now) * queue_factor(state, requests_ahead(state, now));
    if (state.outstanding > 0 && now - state.waiting_since > STALL_TIME) {
        expected += STALL_US;
    }
    if (now < state.cold_until) {
        expected *= 2.0;
    }
    expected += state.same_region ? 0.0 : REGION_BYTES_US;
    if (state.idle_connections == 0) {
        expected += CONNECT_US + way_us(state);
    }
    return expected + way_us(state) + state.refusal_share * costs.refusal_us +
           faded_failure_share(state, now) * costs.failure_us;
}

const char* name_of(Availability availability) {
    switch (availability) {
        case Availability::available:
            return "available";
        case Availability::out_of_service:
            return "out_of_service";
        case Availability::replaced:
            return "replaced";
        case Availability::unreachable:
            return "unreachable";
        case Availability::no_connection:
            return "no_connection";
        case Availability::cold:
            return "cold";
    }
    return "unknown";
}

Availability availability(const TargetTable& table, const TargetState& state,
                          double cold_per_second, Time now) {
    if (!state.accepts_work) {
        return Availability::out_of_service;
    }
    if (state.replaced) {
        return Availability::replaced;
    }
    if (now < state.unreachable_until) {
        return Availability::unreachable;
    }
    const bool may_connect =
        state.connections < connection_share(table, state) && now >= state.connect_again_at;
    if (state.idle_connections == 0 && !may_connect) {
        return Availability::no_connection;
    }
    if (cold_per_second > 0.0 && now < state.cold_until) {
        const std::int64_t limit = cold_limit(table, cold_per_second);
        const bool same_window = now - state.cold_window < COLD_WINDOW;
        if (limit == 0 || (same_window && state.cold_sent >= limit)) {
            return Availability::cold;
        }
    }
    return Availability::available;
}

bool is_candidate(const TargetTable& table, const TargetState& state, double cold_per_second,
                  Time now) {
    return availability(table, state, cold_per_second, now) == Availability::available;
}

bool may_keep_idle(const TargetTable& table, const TargetState& state) {
    const double allowed = static_cast<double>(state.max_connections) * IDLE_SHARE;
    if (state.same_region || static_cast<double>(table.nodes) <= allowed) {
        return true;
    }
    const std::uint64_t draw = stable_hash(table.own_node + "/" + state.entry.id);
    return draw % IDLE_DRAWS < IDLE_DRAWS / 3;
}

Time available_at(const TargetState& state, Time now) {
    return std::max(now, state.unreachable_until);
}

void count_cold(TargetState& state, Time now) {
    if (now - state.cold_window >= COLD_WINDOW) {
        state.cold_window = now;
        state.cold_sent = 0;
    }
    ++state.cold_sent;
}

}  // namespace ebonymount
