#include "policy/admission.h"

#include <algorithm>

namespace ebonymount {
namespace {

void make_cold(AdmissionState& admission, Time now) {
    admission.stage = 0;
    admission.successes_in_stage = 0;
    admission.consecutive_slow_responses = 0;
    admission.stage_since = now;
}

void count_end(AdmissionState& admission) {
    if (admission.running > 0) {
        --admission.running;
    }
}

void advance_warm_up(AdmissionState& admission, const ServiceRow& row, Time now) {
    if (admission.stage >= WARM_STAGE) {
        return;
    }
    ++admission.successes_in_stage;
    const bool has_enough_successes = admission.successes_in_stage >= row.ramp_successes;
    const bool has_lasted_long_enough = now - admission.stage_since >= from_ms(row.ramp_stage_ms);
    if (has_enough_successes && has_lasted_long_enough) {
        ++admission.stage;
        if (admission.stage == WARM_STAGE) {
            admission.cold_resets_for_slow_service = 0;
            admission.is_usual_service_time_known = true;
        }
        admission.successes_in_stage = 0;
        admission.stage_since = now;
    }
}

Duration start_spacing(const AdmissionState& admission, const ServiceRow& row) {
    if (admission.stage >= WARM_STAGE) {
        return Duration::zero();
    }
    const std::int64_t rate = row.cold_rate_per_s << admission.stage;
    return Duration(1'000'000 / rate);
}

/// Pause after a target refused a request because it is leaving; it is treated as cold afterwards.
constexpr Duration DRAINING_PAUSE = from_ms(2000);

/// A response is slow if it takes more than this many tenths of the usual service time.
constexpr int SLOW_TENTHS = 22;

/// A response is much faster if it takes less than this many tenths of the usual service time.
constexpr int MUCH_FASTER_TENTHS = 7;

/// Weight of a new sample in the usual service time: one divided by the window for a much faster,
/// an ordinary and a slow response.
constexpr int MUCH_FASTER_WINDOW = 4;
constexpr int USUAL_WINDOW = 16;
constexpr int SLOW_WINDOW = 256;

/// Once a target has been made cold for slow responses this many times without becoming warm in
/// between, its mean service time becomes the usual one.
constexpr int COLD_RESETS_BEFORE_RELEARNING = 8;

/// Consecutive slow responses that show that a target is cold. A lower number would also catch warm
/// targets with a few stragglers.
constexpr int SLOW_RESPONSES_BEFORE_COLD = 4;

/// Weight of the newest sample in the mean service time: one divided by this window.
constexpr int MEAN_SERVICE_TIME_WINDOW = 16;

/// Counts consecutive slow responses and updates the usual service time.
void update_usual_service_time(AdmissionState& admission, Duration service_time) {
    if (admission.usual_service_time == Duration::zero()) {
        admission.usual_service_time = service_time;
    }
    const bool is_slow = service_time > admission.usual_service_time * SLOW_TENTHS / 10;
    admission.consecutive_slow_responses = is_slow ? admission.consecutive_slow_responses + 1 : 0;
    if (admission.is_usual_service_time_known && admission.stage < WARM_STAGE) {
        return;
    }
    const bool is_much_faster =
        service_time < admission.usual_service_time * MUCH_FASTER_TENTHS / 10;
    const int window = is_much_faster ? MUCH_FASTER_WINDOW : is_slow ? SLOW_WINDOW : USUAL_WINDOW;
    admission.usual_service_time += (service_time - admission.usual_service_time) / window;
}

/// Makes the target cold. If it stays slow through several warm-ups, its service time has changed
/// permanently, and the new one becomes the usual one.
void make_cold_for_slow_service(AdmissionState& admission, Time now) {
    make_cold(admission, now);
    if (++admission.cold_resets_for_slow_service >= COLD_RESETS_BEFORE_RELEARNING) {
        admission.cold_resets_for_slow_service = 0;
        admission.usual_service_time = admission.mean_service_time;
    }
}

}  // namespace

std::int64_t concurrency_limit(const AdmissionState& admission, const ServiceRow& row,
                               std::int64_t share_64ths) {
    const std::int64_t warm_limit = row.slots * share_64ths / 64;
    if (admission.stage >= WARM_STAGE) {
        return warm_limit;
    }
    return std::min(warm_limit, row.cold_limit << admission.stage);
}

Admission admit(const AdmissionState& admission, const ServiceRow& row, std::int64_t share_64ths,
                Time now) {
    if (admission.broken || now < admission.draining_until) {
        return Admission::closed;
    }
    const std::int64_t limit = concurrency_limit(admission, row, share_64ths);
    if (limit == 0) {
        return Admission::closed;
    }
    if (admission.running >= limit || now < admission.next_start) {
        return Admission::wait;
    }
    return Admission::start;
}

Duration expected_wait(const AdmissionState& admission, const ServiceRow& row,
                       std::int64_t share_64ths, std::int64_t queued, Time now) {
    const std::int64_t limit = concurrency_limit(admission, row, share_64ths);
    if (limit == 0) {
        return Duration::max();
    }
    const std::int64_t requests_ahead =
        std::max<std::int64_t>(0, queued + admission.running - limit + 1);
    const Duration wait_for_slot = admission.mean_service_time * requests_ahead / limit;
    const Duration until_next_start = std::max(Duration::zero(), admission.next_start - now);
    const Duration wait_for_rate = until_next_start + start_spacing(admission, row) * queued;
    return std::max(wait_for_slot, wait_for_rate);
}

void on_start(AdmissionState& admission, const ServiceRow& row, Time now) {
    ++admission.running;
    admission.next_start = now + start_spacing(admission, row);
}

void on_success(AdmissionState& admission, const ServiceRow& row, const std::string& incarnation,
                Duration service_time, Time now) {
    count_end(admission);
    update_usual_service_time(admission, service_time);
    admission.mean_service_time +=
        (service_time - admission.mean_service_time) / MEAN_SERVICE_TIME_WINDOW;
    if (incarnation != admission.incarnation) {
        admission.incarnation = incarnation;
        make_cold(admission, now);
        return;
    }
    if (admission.consecutive_slow_responses >= SLOW_RESPONSES_BEFORE_COLD && admission.stage > 0) {
        make_cold_for_slow_service(admission, now);
        return;
    }
    advance_warm_up(admission, row, now);
}

void on_shed(AdmissionState& admission, Time now) {
    count_end(admission);
    make_cold(admission, now);
}

void on_draining(AdmissionState& admission, Time now) {
    count_end(admission);
    make_cold(admission, now);
    admission.draining_until = now + DRAINING_PAUSE;
}

void on_end_without_evidence(AdmissionState& admission) {
    count_end(admission);
}

void on_connection_broken(AdmissionState& admission, Time now) {
    count_end(admission);
    make_cold(admission, now);
}

void on_connection_replaced(AdmissionState& admission, Time now) {
    count_end(admission);
    make_cold(admission, now);
}

void on_connect_failed(AdmissionState& admission) {
    count_end(admission);
    admission.broken = true;
}

void on_reachable_again(AdmissionState& admission, Time now) {
    admission.broken = false;
    make_cold(admission, now);
}

}  // namespace ebonymount
