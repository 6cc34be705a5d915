// Messages between gateway and relay, encoded as MessagePack.
//
// One request carries all sub-queries of a query for one relay, so a link is crossed once per
// query. The relay responds with a sequence of outcomes on the same stream, each a MessagePack
// object, in the order in which targets respond.
#pragma once

#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "policy/gather.h"

namespace ebonymount {

/// One sub-query within a `WireQuery`.
struct WireSubQuery {
    std::uint64_t attempt = 0;
    std::string shard;
    std::string target;
    MSGPACK_DEFINE(attempt, shard, target)
};

/// The sub-queries of one query for one relay.
struct WireQuery {
    std::int64_t protocol = PEER_WIRE_VERSION;
    std::string query_id;
    std::string service;
    std::string snapshot;
    std::string key;
    std::string body;
    bool idempotent = true;
    /// Time left until the query's deadline, measured at the moment of sending.
    std::int64_t remaining_us = 0;
    std::vector<WireSubQuery> items;
    MSGPACK_DEFINE(protocol, query_id, service, snapshot, key, body, idempotent, remaining_us,
                   items)

    static constexpr std::int64_t PEER_WIRE_VERSION = 1;
};

/// How one sub-query ended, with times for the trace. `status` and `verdict` are the numbers of the
/// enumerators of `AttemptStatus` and `Verdict`.
struct WireOutcome {
    std::uint64_t attempt = 0;
    std::uint8_t status = 0;
    std::uint8_t verdict = 0;
    std::string snapshot;
    std::string digest;
    std::string result;
    /// Time from the sub-query's arrival at the relay until it is sent to the target.
    std::int64_t queue_us = 0;
    /// Time from then to the end of the attempt.
    std::int64_t target_us = 0;
    MSGPACK_DEFINE(attempt, status, verdict, snapshot, digest, result, queue_us, target_us)
};

/// Cancels attempts of a query.
struct WireCancel {
    std::string query_id;
    std::vector<std::uint64_t> attempts;
    MSGPACK_DEFINE(query_id, attempts)
};

std::string encode(const WireQuery& query);
std::string encode(const WireOutcome& outcome);
std::string encode(const WireCancel& cancel);

Result<WireQuery> decode_query(std::string_view bytes);
Result<WireCancel> decode_cancel(std::string_view bytes);

/// Decodes outcomes from a stream that arrives in pieces.
class OutcomeReader {
public:
    /// Appends bytes and calls `on_outcome` for each complete outcome. After an error the rest of
    /// the stream cannot be decoded.
    Result<Done> feed(std::string_view bytes,
                      const std::function<void(const WireOutcome&)>& on_outcome);

private:
    msgpack::unpacker m_unpacker;
};

/// Converts an outcome for the gather state machine; unknown status or verdict codes are errors.
Result<AttemptOutcome> to_attempt_outcome(const WireOutcome& wire);

}  // namespace ebonymount
