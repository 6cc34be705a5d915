// What the readers of documents share.
#pragma once

#include <limits>
#include <string>

#include "base/check.h"
#include "base/result.h"
#include "io/json_reader.h"

namespace ebonymount {

/// Upper bound for whole numbers that have no other.
constexpr std::int64_t ANY = std::numeric_limits<std::int64_t>::max();

/// Runs a reader function and turns what it throws into an error.
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
