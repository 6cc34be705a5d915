// Catches exceptions where a thread or an event loop hands control to other code, so that an
// unexpected one costs that piece of work and not the process.
//
// What the work had begun must be ended by whoever owns it: the guard only logs and counts.
#pragma once

#include <chrono>
#include <cstdint>
#include <exception>
#include <thread>

namespace ebonymount {

/// Logs and counts an exception that ended the work at `place`.
void report_exception(const char* place, const char* what) noexcept;

/// Number of exceptions caught since the process started.
std::int64_t caught_exceptions();

/// Runs the work; `place` names it in the log. False if it ended with an exception.
template <typename Work>
bool run_guarded(const char* place, const Work& work) {
    try {
        work();
        return true;
    } catch (const std::exception& error) {
        report_exception(place, error.what());
    } catch (...) {
        report_exception(place, "not a std::exception");
    }
    return false;
}

/// Runs the body of a thread until it returns. After an exception it begins again after a pause.
template <typename Body>
void run_thread(const char* place, const Body& body) {
    constexpr std::chrono::milliseconds PAUSE(100);
    while (!run_guarded(place, body)) {
        std::this_thread::sleep_for(PAUSE);
    }
}

}  // namespace ebonymount
