#include "policy/admission.h"

#include <algorithm>

namespace ebonymount {
namespace {

void make_cold(TargetLedger& ledger, Time now) {
    ledger.stage = 0;
    ledger.successes_in_stage = 0;
    ledger.slow_in_a_row = 0;
    ledger.stage_since = now;
}

void count_end(TargetLedger& ledger) {
    if (ledger.running > 0) {
        --ledger.running;
    }
}

void advance_warm_up(TargetLedger& ledger, const ServiceRow& row, Time now) {
    if (ledger.stage >= WARM_STAGE) {
        return;
    }
    ++ledger.successes_in_stage;
    const bool enough = ledger.successes_in_stage >= row.ramp_successes;
    const bool long_enough = now - ledger.stage_since >= from_ms(row.ramp_stage_ms);
    if (enough && long_enough) {
        ++ledger.stage;
        if (ledger.stage == WARM_STAGE) {
            ledger.cold_turns_for_slow_service = 0;
            ledger.is_usual_service_known = true;
        }
        ledger.successes_in_stage = 0;
        ledger.stage_since = now;
    }
}

Duration start_spacing(const TargetLedger& ledger, const ServiceRow& row) {
    if (ledger.stage >= WARM_STAGE) {
        return Duration::zero();
    }
    const std::int64_t rate = row.cold_rate_per_s << ledger.stage;
    return Duration(1'000'000 / rate);
}

/// Pause after a target refused a request because it is leaving; it is treated as cold afterwards.
constexpr Duration DRAINING_PAUSE = from_ms(2000);

/// A response is slow if it takes more than this many tenths of the usual service time.
constexpr int SLOW_TENTHS = 22;

/// A response is far faster if it takes less than this many tenths of the usual service time.
constexpr int MUCH_FASTER_TENTHS = 7;

/// Weight of a new sample in the usual service time: one divided by this window.
constexpr int MUCH_FASTER_WINDOW = 4;
constexpr int USUAL_WINDOW = 16;
constexpr int SLOW_WINDOW = 256;

/// After a target has been made cold for slow responses this many times, without becoming warm in
/// between, its current service time becomes the usual one.
constexpr int COLD_TURNS_BEFORE_RELEARNING = 8;

/// Consecutive slow responses that show that a target is cold. A lower number would also catch warm
/// targets with a few stragglers.
constexpr int SLOW_RESPONSES_BEFORE_COLD = 4;

/// Weight of the newest sample in the mean service time: one divided by this window.
constexpr int MEAN_WINDOW = 16;

/// Counts consecutive slow responses and updates the usual service time.
void update_usual_service(TargetLedger& ledger, Duration service_time) {
    if (ledger.usual_service == Duration::zero()) {
        ledger.usual_service = service_time;
    }
    const bool is_slow = service_time > ledger.usual_service * SLOW_TENTHS / 10;
    ledger.slow_in_a_row = is_slow ? ledger.slow_in_a_row + 1 : 0;
    if (ledger.is_usual_service_known && ledger.stage < WARM_STAGE) {
        return;
    }
    const bool is_much_faster = service_time < ledger.usual_service * MUCH_FASTER_TENTHS / 10;
    const int window = is_much_faster ? MUCH_FASTER_WINDOW : is_slow ? SLOW_WINDOW : USUAL_WINDOW;
    ledger.usual_service += (service_time - ledger.usual_service) / window;
}

/// Makes the target cold. If it stays slow through several warm-ups, its service time has changed
/// permanently, and the new one becomes the usual one.
void make_cold_for_slow_service(TargetLedger& ledger, Time now) {
    make_cold(ledger, now);
    if (++ledger.cold_turns_for_slow_service >= COLD_TURNS_BEFORE_RELEARNING) {
        ledger.cold_turns_for_slow_service = 0;
        ledger.usual_service = ledger.mean_service;
    }
}

}  // namespace

std::int64_t concurrency_limit(const TargetLedger& ledger, const ServiceRow& row,
                               std::int64_t share_64ths) {
    const std::int64_t warm_limit = row.slots * share_64ths / 64;
    if (ledger.stage >= WARM_STAGE) {
        return warm_limit;
    }
    return std::min(warm_limit, row.cold_limit << ledger.stage);
}

Admission admit(const TargetLedger& ledger, const ServiceRow& row, std::int64_t share_64ths,
                Time now) {
    if (ledger.broken || now < ledger.draining_until) {
        return Admission::closed;
    }
    const std::int64_t limit = concurrency_limit(ledger, row, share_64ths);
    if (limit == 0) {
        return Admission::closed;
    }
    if (ledger.running >= limit || now < ledger.next_start) {
        return Admission::wait;
    }
    return Admission::start;
}

Duration expected_wait(const TargetLedger& ledger, const ServiceRow& row, std::int64_t share_64ths,
                       std::int64_t queued, Time now) {
    const std::int64_t limit = concurrency_limit(ledger, row, share_64ths);
    if (limit == 0) {
        return Duration::max();
    }
    const std::int64_t ahead = std::max<std::int64_t>(0, queued + ledger.running - limit + 1);
    const Duration by_slots = ledger.mean_service * ahead / limit;
    const Duration until_next = std::max(Duration::zero(), ledger.next_start - now);
    const Duration by_rate = until_next + start_spacing(ledger, row) * queued;
    return std::max(by_slots, by_rate);
}

void on_start(TargetLedger& ledger, const ServiceRow& row, Time now) {
    ++ledger.running;
    ledger.next_start = now + start_spacing(ledger, row);
}

void on_success(TargetLedger& ledger, const ServiceRow& row, const std::string& incarnation,
                Duration service_time, Time now) {
    count_end(ledger);
    update_usual_service(ledger, service_time);
    ledger.mean_service += (service_time - ledger.mean_service) / MEAN_WINDOW;
    if (incarnation != ledger.incarnation) {
        ledger.incarnation = incarnation;
        make_cold(ledger, now);
        return;
    }
    if (ledger.slow_in_a_row >= SLOW_RESPONSES_BEFORE_COLD && ledger.stage > 0) {
        make_cold_for_slow_service(ledger, now);
        return;
    }
    advance_warm_up(ledger, row, now);
}

void on_shed(TargetLedger& ledger, Time now) {
    count_end(ledger);
    make_cold(ledger, now);
}

void on_draining(TargetLedger& ledger, Time now) {
    count_end(ledger);
    make_cold(ledger, now);
    ledger.draining_until = now + DRAINING_PAUSE;
}

void on_end_without_evidence(TargetLedger& ledger) {
    count_end(ledger);
}

void on_broken(TargetLedger& ledger, Time now) {
    count_end(ledger);
    make_cold(ledger, now);
}

void on_connection_replaced(TargetLedger& ledger, Time now) {
    count_end(ledger);
    make_cold(ledger, now);
}

void on_connect_failed(TargetLedger& ledger) {
    count_end(ledger);
    ledger.broken = true;
}

void on_reachable_again(TargetLedger& ledger, Time now) {
    ledger.broken = false;
    make_cold(ledger, now);
}

}  // namespace ebonymount
