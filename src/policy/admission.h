// Admission to one target, kept by the holder of the target's seat.
//
// The ledger counts what runs at the target and decides whether one more request may start. A
// target is cold when it is new to its owner, its incarnation changed, its connection broke, it
// shed work, or several answers in a row took far longer than usual. A cold target starts at the
// table's cold limit and rate; both double with each stage, and a stage lasts until enough requests
// have succeeded and enough time has passed.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"
#include "policy/table.h"

namespace ebonymount {

/// Stage number of a target that is not warming up.
constexpr int WARM_STAGE = 6;

/// What the owner knows of one target.
struct AdmissionState {
    std::string incarnation;
    int stage = 0;
    std::int64_t running = 0;
    std::int64_t successes_in_stage = 0;
    Time stage_since{};
    Time next_start{};
    Duration mean_service = from_ms(5);
    /// Usual service time while warm. Once it is known it rests while the target warms up, so that
    /// cold spells do not pass for the usual.
    Duration usual_service{};
    bool knows_usual = false;
    /// Times the target was made cold for its pace since it was last warm.
    int slow_turns = 0;
    /// Answers in a row that took far longer than usual.
    int slow_in_a_row = 0;
    /// Set while the target refuses connections; only a connection probe may go to it then.
    bool broken = false;
    /// Until then nothing is sent, because the target said that it is leaving.
    Time draining_until{};

    friend bool operator==(const AdmissionState&, const AdmissionState&) = default;
};

/// Whether a request may start now.
enum class Admission : std::uint8_t { start, wait, closed };

/// Requests that may run at once, after warm-up stage and share.
std::int64_t concurrency_limit(const AdmissionState& admission, const ServiceRow& row,
                               std::int64_t share_64ths);

/// Decides whether one more request may start now.
Admission admit(const AdmissionState& admission, const ServiceRow& row, std::int64_t share_64ths,
                Time now);

/// Time until a request that joins a queue of `queued` others is expected to start.
Duration expected_wait(const AdmissionState& admission, const ServiceRow& row,
                       std::int64_t share_64ths, std::int64_t queued, Time now);

/// Counts a start and spaces the next one while the target is cold.
void on_start(AdmissionState& admission, const ServiceRow& row, Time now);

/// Counts a success; a changed incarnation makes the target cold.
void on_success(AdmissionState& admission, const ServiceRow& row, const std::string& incarnation,
                Duration service_time, Time now);

/// The target refused the request because it has too much to do.
void on_shed(AdmissionState& admission, Time now);

/// The target refused the request because it is leaving.
void on_draining(AdmissionState& admission, Time now);

/// The request ended without telling anything of the target's strength: cancelled, or refused for
/// its content.
void on_end_without_evidence(AdmissionState& admission);

/// The connection broke while a request was running.
void on_broken(AdmissionState& admission, Time now);

/// A connection was found closed before a request was sent on it; the request does not start.
void on_connection_replaced(AdmissionState& admission, Time now);

/// A connection could not be opened; nothing was running on it.
void on_connect_failed(AdmissionState& admission);

/// A connection was opened to a target that had refused them: it starts again, cold.
void on_reachable_again(AdmissionState& admission, Time now);

}  // namespace ebonymount
