// Time for the decision modules: a point on a monotonic clock, passed in by the caller.
//
// Decision code never reads a clock, so the same code runs in real and in virtual time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace ebonymount {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Current time of this host's monotonic clock, for the code that drives the decision modules.
inline Time monotonic_now() {
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Milliseconds since 1970 by the wall clock, which may jump; for logs and identifiers only.
inline std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// `duration` times `factor`, rounded toward zero.
inline Duration scaled(Duration duration, double factor) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// A duration in milliseconds with fraction, for reports.
inline double to_ms(Duration duration) {
    return static_cast<double>(duration.count()) / 1000.0;
}

/// Duration of a number of milliseconds.
constexpr Duration from_ms(std::int64_t milliseconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(milliseconds));
}

/// Duration of an untrusted number of milliseconds: not a number counts as 0, and amounts of more
/// than 30 years, which would overflow, count as 30 years.
inline Duration bounded_ms(double milliseconds) {
    constexpr double MAX_MS = 1e12;
    if (std::isnan(milliseconds)) {
        return Duration::zero();
    }
    return Duration(static_cast<std::int64_t>(std::clamp(milliseconds, -MAX_MS, MAX_MS) * 1000.0));
}

}  // namespace ebonymount
