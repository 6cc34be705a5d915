// Helpers shared by the functions that read JSON documents into structs.
#pragma once

#include <limits>
#include <string>

#include "base/check.h"
#include "base/result.h"
#include "io/json_reader.h"

namespace ebonymount {

/// Upper bound for integers without a tighter limit.
constexpr std::int64_t MAX_INTEGER = std::numeric_limits<std::int64_t>::max();

/// Runs a reader function and converts its exceptions to an error. `what` names the document in the
/// message and is the error's offender.
template <typename T, typename Read>
Result<T> read_document(const nlohmann::json& document, const std::string& what, Read read) {
    try {
        return read(document);
    } catch (const UserError& error) {
        return Error{ErrorCode::invalid_input, what + ": " + error.what(), what};
    } catch (const nlohmann::json::exception& error) {
        return Error{ErrorCode::invalid_input, what + ": " + error.what(), what};
    }
}

}  // namespace ebonymount
