#include "policy/admission.h"

#include <algorithm>

namespace ebonymount {
namespace {

void make_cold(AdmissionState& admission, Time now) {
    admission.stage = 0;
    admission.successes_in_stage = 0;
    admission.slow_in_a_row = 0;
    admission.stage_since = now;
}

void end_one(AdmissionState& admission) {
    if (admission.running > 0) {
        --admission.running;
    }
}

void climb(AdmissionState& admission, const ServiceRow& row, Time now) {
    if (admission.stage >= WARM_STAGE) {
        return;
    }
    ++admission.successes_in_stage;
    const bool enough = admission.successes_in_stage >= row.ramp_successes;
    const bool long_enough = now - admission.stage_since >= from_ms(row.ramp_stage_ms);
    if (enough && long_enough) {
        ++admission.stage;
        if (admission.stage == WARM_STAGE) {
            admission.slow_turns = 0;
            admission.knows_usual = true;
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

/// Pause before a target that was leaving is asked again, as a cold one.
constexpr Duration DRAINING_PAUSE = from_ms(2000);

/// An answer is slow when it takes more than this many tenths of the usual time.
constexpr int SLOW_TENTHS = 22;

/// An answer is far faster when it takes less than this many tenths of the usual time.
constexpr int FAR_FASTER_TENTHS = 7;

/// Weights of a new sample in the usual service time, as one in so many.
constexpr int FAR_FASTER_WINDOW = 4;
constexpr int USUAL_WINDOW = 16;
constexpr int SLOW_WINDOW = 256;

/// Turns to cold for its pace, without getting warm between, after which a target's new pace is
/// taken for the usual one.
constexpr int TURNS_FOR_NEW_PACE = 8;

/// Slow answers in a row that show a target has turned cold; fewer would convict stragglers.
constexpr int SLOW_RUN = 4;

/// Weight of the newest sample in the mean service time, as one in this many.
constexpr int MEAN_WINDOW = 16;

/// Compares an answer with the usual time, counts slow ones in a row, and learns from it.
void learn_usual(AdmissionState& admission, Duration service_time) {
    if (admission.usual_service == Duration::zero()) {
        admission.usual_service = service_time;
    }
    const bool is_slow = service_time > admission.usual_service * SLOW_TENTHS / 10;
    admission.slow_in_a_row = is_slow ? admission.slow_in_a_row + 1 : 0;
    if (admission.knows_usual && admission.stage < WARM_STAGE) {
        return;
    }
    const bool is_far_faster = service_time < admission.usual_service * FAR_FASTER_TENTHS / 10;
    const int window = is_far_faster ? FAR_FASTER_WINDOW : is_slow ? SLOW_WINDOW : USUAL_WINDOW;
    admission.usual_service += (service_time - admission.usual_service) / window;
}

/// Makes the target cold. One that stays slow through several warm-ups has changed its pace for
/// good, and the new pace becomes the usual one.
void turn_cold_for_pace(AdmissionState& admission, Time now) {
    make_cold(admission, now);
    if (++admission.slow_turns >= TURNS_FOR_NEW_PACE) {
        admission.slow_turns = 0;
        admission.usual_service = admission.mean_service;
    }
}

}  // namespace

std::int64_t concurrency_limit(const AdmissionState& admission, const ServiceRow& row,
                               std::int64_t share_64ths) {
    const std::int64_t whole = row.slots * share_64ths / 64;
    if (admission.stage >= WARM_STAGE) {
        return whole;
    }
    return std::min(whole, row.cold_limit << admission.stage);
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
    const std::int64_t ahead = std::max<std::int64_t>(0, queued + admission.running - limit + 1);
    const Duration by_slots = admission.mean_service * ahead / limit;
    const Duration until_next = std::max(Duration::zero(), admission.next_start - now);
    const Duration by_rate = until_next + start_spacing(admission, row) * queued;
    return std::max(by_slots, by_rate);
}

void on_start(AdmissionState& admission, const ServiceRow& row, Time now) {
    ++admission.running;
    admission.next_start = now + start_spacing(admission, row);
}

void on_success(AdmissionState& admission, const ServiceRow& row, const std::string& incarnation,
                Duration service_time, Time now) {
    end_one(admission);
    learn_usual(admission, service_time);
    admission.mean_service += (service_time - admission.mean_service) / MEAN_WINDOW;
    if (incarnation != admission.incarnation) {
        admission.incarnation = incarnation;
        make_cold(admission, now);
        return;
    }
    if (admission.slow_in_a_row >= SLOW_RUN && admission.stage > 0) {
        turn_cold_for_pace(admission, now);
        return;
    }
    climb(admission, row, now);
}

void on_shed(AdmissionState& admission, Time now) {
    end_one(admission);
    make_cold(admission, now);
}

void on_draining(AdmissionState& admission, Time now) {
    end_one(admission);
    make_cold(admission, now);
    admission.draining_until = now + DRAINING_PAUSE;
}

void on_end_without_evidence(AdmissionState& admission) {
    end_one(admission);
}

void on_broken(AdmissionState& admission, Time now) {
    end_one(admission);
    make_cold(admission, now);
}

void on_connection_replaced(AdmissionState& admission, Time now) {
    end_one(admission);
    make_cold(admission, now);
}

void on_connect_failed(AdmissionState& admission) {
    end_one(admission);
    admission.broken = true;
}

void on_reachable_again(AdmissionState& admission, Time now) {
    admission.broken = false;
    make_cold(admission, now);
}

}  // namespace ebonymount
