// Results and errors that cross module boundaries.
//
// A function that can fail for reasons outside the program returns `Result<T>`: either the value
// or an `Error` that says what was wrong and which input caused it. The module that calls a library
// turns the library's exceptions into errors.
#pragma once

#include <string>
#include <variant>

namespace ebonymount {

/// Classes of failure that callers can handle differently.
enum class ErrorCode {
    invalid_input,
    not_found,
    conflict,
    unavailable,
    timeout,
    refused,
    protocol,
};

/// A failure; `offender` names the offending input.
struct Error {
    ErrorCode code = ErrorCode::invalid_input;
    std::string message;
    std::string offender;

    friend bool operator==(const Error&, const Error&) = default;
};

/// The value or the error of an operation that can fail.
template <typename T>
using Result = std::variant<T, Error>;

/// Success of an operation that has no value.
struct Done {
    friend bool operator==(const Done&, const Done&) = default;
};

/// True when the result holds a value.
template <typename T>
bool has_value(const Result<T>& result) {
    return std::holds_alternative<T>(result);
}

/// The error of a failed result. Calling it on a success is a bug.
template <typename T>
const Error& error_of(const Result<T>& result) {
    return std::get<Error>(result);
}

/// The value of a successful result. Calling it on a failure is a bug.
template <typename T>
const T& value_of(const Result<T>& result) {
    return std::get<T>(result);
}

/// Name of an error class as it appears in logs and responses.
const char* name_of(ErrorCode code);

/// One readable line: the message, then the offender in quotes if there is one.
std::string describe(const Error& error);

}  // namespace ebonymount
