#include "base/result.h"

namespace ebonymount {

const char* name_of(ErrorCode code) {
    switch (code) {
        case ErrorCode::invalid_input:
            return "invalid_input";
        case ErrorCode::not_found:
            return "not_found";
        case ErrorCode::conflict:
            return "conflict";
        case ErrorCode::unavailable:
            return "unavailable";
        case ErrorCode::timeout:
            return "timeout";
        case ErrorCode::refused:
            return "refused";
        case ErrorCode::protocol:
            return "protocol";
    }
    return "unknown";
}

std::string describe(const Error& error) {
    if (error.offender.empty()) {
        return error.message;
    }
    return error.message + ": \"" + error.offender + "\"";
}

}  // namespace ebonymount
