// Checks with streamed messages.
//
// `user_check` reports a mistake in input written by a person (settings, table, command line) and
// throws `UserError`; `internal_check` reports a bug in this program and throws `InternalFault`.
// The message is streamed into the check and is only built when the condition does not hold.
// Messages name the offending input.
#pragma once

#include <sstream>
#include <stdexcept>
#include <string>

namespace ebonymount {

/// A mistake in input written by a person.
class UserError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A broken invariant of this program.
class InternalFault : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Collects a message and throws `Exception` with it at the end of the full expression.
template <typename Exception>
class CheckReport {
public:
    explicit CheckReport(const char* prefix) {
        m_text << prefix;
    }

    CheckReport(const CheckReport&) = delete;
    CheckReport& operator=(const CheckReport&) = delete;
    CheckReport(CheckReport&&) = delete;
    CheckReport& operator=(CheckReport&&) = delete;

    ~CheckReport() noexcept(false) {
        throw Exception(m_text.str());
    }

    template <typename Value>
    CheckReport& operator<<(const Value& value) {
        m_text << value;
        return *this;
    }

private:
    std::ostringstream m_text;
};

}  // namespace ebonymount

// NOLINTBEGIN(cppcoreguidelines-macro-usage): the message must not be built when the check holds.
#define EBONYMOUNT_CHECK(condition, exception, prefix) \
    if (condition) {                                   \
    } else                                             \
        ::ebonymount::CheckReport<exception>(prefix)

#define user_check(condition) EBONYMOUNT_CHECK(condition, ::ebonymount::UserError, "")
#define internal_check(condition) \
    EBONYMOUNT_CHECK(condition, ::ebonymount::InternalFault, "internal fault: " #condition ": ")
// NOLINTEND(cppcoreguidelines-macro-usage)
