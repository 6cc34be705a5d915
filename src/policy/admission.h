// Admission to one target, decided by the lease holder of the target's group.
//
// The admission state counts the requests that run at the target and decides whether one more may
// start. A target is cold if it is new to its lease holder, its incarnation changed, its connection
// broke, it shed load or was leaving, or several consecutive responses took far longer than usual.
// A cold target starts at the table's cold limit and rate; both double with each warm-up stage, and
// a stage lasts until enough requests have succeeded and enough time has passed.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "policy/table.h"

namespace ebonymount {

/// Stage of a target that has finished warming up.
constexpr int WARM_STAGE = 6;

/// State of one target at the lease holder of its group.
struct AdmissionState {
    std::string incarnation;
    /// Warm-up stage, from 0 (cold) to `WARM_STAGE`.
    int stage = 0;
    /// Requests that this lease holder has started at the target and that have not ended.
    std::int64_t running = 0;
    std::int64_t successes_in_stage = 0;
    Time stage_since{};
    /// Earliest time of the next start, while the target is cold.
    Time next_start{};
    Duration mean_service_time = from_ms(5);
    /// Usual service time while warm. Once known, it is not updated while the target warms up, so
    /// that the slow responses of a cold target do not count as usual.
    Duration usual_service_time{};
    bool is_usual_service_time_known = false;
    /// Number of times the target was made cold for slow responses since it was last warm.
    int cold_resets_for_slow_service = 0;
    /// Consecutive responses that took far longer than usual.
    int consecutive_slow_responses = 0;
    /// Set while the target refuses connections; meanwhile only connection probes are made.
    bool broken = false;
    /// Nothing is sent before this time, because the target reported that it is leaving.
    Time draining_until{};

    friend bool operator==(const AdmissionState&, const AdmissionState&) = default;
};

/// Whether a request may start now.
enum class Admission : std::uint8_t {
    start,   ///< The request may start.
    wait,    ///< The concurrency limit or the cold rate does not allow another start yet.
    closed,  ///< The target is unreachable or leaving, or the share allows no request.
};

/// Maximum number of concurrent requests at the target's warm-up stage, within the lease's share.
std::int64_t concurrency_limit(const AdmissionState& admission, const ServiceRow& row,
                               std::int64_t share_64ths);

/// Decides whether one more request may start now.
Admission admit(const AdmissionState& admission, const ServiceRow& row, std::int64_t share_64ths,
                Time now);

/// Expected time until the start of a request that is queued behind `queued` others; the maximum
/// duration if nothing may be sent.
Duration expected_wait(const AdmissionState& admission, const ServiceRow& row,
                       std::int64_t share_64ths, std::int64_t queued, Time now);

/// Counts a started request and, while the target is cold, sets the earliest time of the next
/// start.
void on_start(AdmissionState& admission, const ServiceRow& row, Time now);

/// Counts a success. A changed incarnation, or several consecutive slow responses, make the target
/// cold.
void on_success(AdmissionState& admission, const ServiceRow& row, const std::string& incarnation,
                Duration service_time, Time now);

/// The target refused the request because it is overloaded.
void on_shed(AdmissionState& admission, Time now);

/// The target refused the request because it is leaving.
void on_draining(AdmissionState& admission, Time now);

/// The request ended in a way that says nothing about the target's capacity: it was cancelled, was
/// refused because of its content, or needed a snapshot that the target does not hold.
void on_end_without_evidence(AdmissionState& admission);

/// The connection broke while a request was running, so the target may have restarted: it is cold
/// again. This does not set `broken`.
void on_connection_broken(AdmissionState& admission, Time now);

/// A connection was found closed before a request was sent on it; the request does not start.
void on_connection_replaced(AdmissionState& admission, Time now);

/// No connection could be opened for a request that was counted by `on_start`; the request was not
/// sent. Sets `broken`.
void on_connect_failed(AdmissionState& admission);

/// A connection was opened to a target that had refused connections; the target starts cold.
void on_reachable_again(AdmissionState& admission, Time now);

}  // namespace ebonymount
