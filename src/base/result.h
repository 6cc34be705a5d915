// Results and errors that cross module borders.
//
// A function that can fail for reasons outside the program returns `Result<T>`: either the value
// or an `Error` that names what was wrong and which input was at fault. Exceptions from libraries
// are turned into errors at the module that calls the library.
#pragma once

#include <string>
#include <variant>

namespace ebonymount {

/// Classes of failure that callers of the library can act upon.
enum class ErrorCode {
    invalid_input,
    not_found,
    conflict,
    unavailable,
    timeout,
    refused,
    protocol,
};

/// A failure with the offending input named in `offender`.
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

/// The error of a failed result. Calling it on a success is an internal fault.
template <typename T>
const Error& error_of(const Result<T>& result) {
    return std::get<Error>(result);
}

/// The value of a successful result. Calling it on a failure is an internal fault.
template <typename T>
const T& value_of(const Result<T>& result) {
    return std::get<T>(result);
}

/// Name of an error class as it appears in logs and answers.
const char* name_of(ErrorCode code);

/// One line for people: the message, then the offender in quotes when there is one.
std::string describe(const Error& error);

}  // namespace ebonymount
