#include "io/exception_guard.h"

#include <atomic>

#include "io/log_event.h"

namespace ebonymount {
namespace {

std::atomic<std::int64_t>& count() {
    static std::atomic<std::int64_t> exceptions{0};
    return exceptions;
}

}  // namespace

void report_exception(const char* place, const char* what) noexcept {
    ++count();
    try {
        LogEvent(LogLevel::error, place, "exception").add("what", what).write();
    } catch (...) {
        // There is no memory for the line; the exception is counted.
        return;
    }
}

std::int64_t caught_exceptions() {
    return count();
}

}  // namespace ebonymount
