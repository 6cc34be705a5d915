#include "io/wire.h"

#include <cstring>
#include <sstream>

namespace ebonymount {
namespace {

template <typename T>
std::string pack(const T& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

template <typename T>
Result<T> unpack(std::string_view bytes, const std::string& what) {
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<T>();
    } catch (const std::exception& error) {
        return Error{ErrorCode::protocol, what + " cannot be decoded: " + error.what(), what};
    }
}

}  // namespace

std::string encode(const WireQuery& query) {
    return pack(query);
}

std::string encode(const WireOutcome& outcome) {
    return pack(outcome);
}

std::string encode(const WireCancel& cancel) {
    return pack(cancel);
}

Result<WireQuery> decode_query(std::string_view bytes) {
    Result<WireQuery> query = unpack<WireQuery>(bytes, "query");
    if (has_value(query) && value_of(query).protocol != WireQuery::PEER_WIRE_VERSION) {
        return Error{ErrorCode::protocol, "query has another protocol version",
                     std::to_string(value_of(query).protocol)};
    }
    return query;
}

Result<WireCancel> decode_cancel(std::string_view bytes) {
    return unpack<WireCancel>(bytes, "cancel");
}

Result<Done> OutcomeReader::feed(std::string_view bytes,
                                 const std::function<void(const WireOutcome&)>& on_outcome) {
    try {
        m_unpacker.reserve_buffer(bytes.size());
        std::memcpy(m_unpacker.buffer(), bytes.data(), bytes.size());
        m_unpacker.buffer_consumed(bytes.size());
        msgpack::object_handle handle;
        while (m_unpacker.next(handle)) {
            on_outcome(handle.get().as<WireOutcome>());
        }
    } catch (const std::exception& error) {
        return Error{ErrorCode::protocol, std::string("outcome cannot be decoded: ") + error.what(),
                     "outcome"};
    }
    return Done{};
}

Result<AttemptOutcome> to_attempt_outcome(const WireOutcome& wire) {
    if (wire.status > static_cast<std::uint8_t>(AttemptStatus::cancelled) ||
        wire.verdict > static_cast<std::uint8_t>(Verdict::may_have_run)) {
        return Error{ErrorCode::protocol, "outcome has an unknown status or verdict",
                     std::to_string(wire.status)};
    }
    AttemptOutcome outcome;
    outcome.attempt = wire.attempt;
    outcome.status = static_cast<AttemptStatus>(wire.status);
    outcome.verdict = static_cast<Verdict>(wire.verdict);
    outcome.snapshot = wire.snapshot;
    outcome.digest = wire.digest;
    outcome.result = wire.result;
    return outcome;
}

}  // namespace ebonymount
