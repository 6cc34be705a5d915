// State that the platform's store has lost by its return from an older copy, as one node tells it
// to another.
//
// A node that ran through the return goes on with what it knew until that has been written again,
// for a bounded time. A node that has started since has only the copy, in which targets that left
// are ready and routes that were added are missing. So it asks other nodes what the copy lacks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "policy/store_position.h"

namespace ebonymount {

/// What a node relies on although the store does not have it any more.
struct UnconfirmedState {
    /// Targets whose entries in the copy are not used, with the time for which that holds.
    std::map<std::string, Duration> targets;
    /// The same for data centres that are out of service although the copy does not name them.
    std::map<std::string, Duration> data_centres;
    /// The configuration in force, as JSON text, and the store's era in which it was last seen
    /// there; empty if the store has it.
    std::string config;
    std::int64_t config_era = UNKNOWN_ERA;

    friend bool operator==(const UnconfirmedState&, const UnconfirmedState&) = default;
};

/// Answer of a node to another one that has read the store in some era.
struct StateAnswer {
    enum class Status : std::uint8_t {
        unknown,   ///< It has started a short time ago itself, or runs another version.
        not_yet,   ///< It has not read the store in that era; it can be asked again.
        complete,  ///< `state` is all that the copy lacks.
    };
    Status status = Status::unknown;
    UnconfirmedState state;

    friend bool operator==(const StateAnswer&, const StateAnswer&) = default;
};

/// Encodes an answer as text. A text that cannot be read counts as `Status::unknown`.
std::string encode(const StateAnswer& answer);
StateAnswer decode_state_answer(const std::string& text);

/// Encodes the era that a node asks for. Empty for a text that is none.
std::string encode_state_request(std::int64_t era);
std::optional<std::int64_t> decode_state_request(const std::string& text);

}  // namespace ebonymount
