// Pool of connections to targets, and the calls on them.
//
// Updates the connection counts in the target table, which limits how many connections a node may
// open. The most recently used idle connection is used first, because targets close connections
// that stay idle.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <unordered_map>
#include <vector>

#include "io/event_loop.h"
#include "io/http_channel.h"
#include "policy/target_state.h"

namespace ebonymount {

/// Identifies a call of the pool.
using PoolCallId = std::uint64_t;

/// A connection of the pool, as a call refers to it.
using PoolConnection = std::weak_ptr<HttpChannel>;

/// One call to a target.
struct PoolCall {
    TargetIndex target = 0;
    ChannelCall call;
    /// The call is aborted if it has not ended by this time.
    Time deadline{};
    /// The call uses no connection that has been idle for longer, as it may have been closed
    /// without notice.
    Duration max_idle = from_ms(30000);
    /// Connections that the call does not use.
    std::vector<PoolConnection> excluded;
};

/// What a connect has shown about a target.
enum class ConnectResult : std::uint8_t {
    accepted,     ///< The target accepts connections.
    refused,      ///< Nothing listens at the target's address.
    no_response,  ///< The connect failed otherwise, or not at all within its time.
};

class TargetPool {
public:
    TargetPool(EventLoop& loop, TargetTable& targets);

    /// Starts a call; `call.on_end` is called once. If no connection can be opened, it is called
    /// from the event loop with `not_sent`.
    PoolCallId start(PoolCall call);

    /// The connection of a call in progress; empty for any other.
    PoolConnection connection_of(PoolCallId call) const;

    /// Withdraws a call that has not been sent; `on_end` is not called. False if it was sent.
    bool withdraw(PoolCallId call);

    /// Closes the connection of a call in progress; `on_end` is called with `aborted`.
    void abort(PoolCallId call);

    /// Opens a connection to see whether the target still runs; `on_end` is called once. Later
    /// calls use the connection.
    void probe(TargetIndex target, std::function<void(ConnectResult)> on_end);

    /// Aborts calls past their deadline, abandons slow connects and closes connections that are
    /// idle for too long or belong to targets that accept no work.
    void sweep(Time now);

    /// Limits the connections to all targets together. At the limit, a new connection takes the
    /// place of the one that has been idle longest; if none is idle, it cannot be opened. A part of
    /// them is only for targets with few connections, so that requests that wait at some targets
    /// do not keep others from theirs.
    void set_max_connections(std::size_t connections);
    /// True if no further connection to the target can be opened now.
    bool is_full(TargetIndex target) const;
    std::size_t connections() const;

    /// Number of connections opened since the start.
    std::int64_t opened_connections() const;
    /// Number of connections that could not be opened because of the limit.
    std::int64_t refused_connections() const;

private:
    using Channel = std::shared_ptr<HttpChannel>;
    struct RunningCall {
        TargetIndex target = 0;
        Channel channel;
        Time deadline{};
    };

    void abort_overdue_calls(Time now);
    /// Connections without a call that have been idle for too long, belong to targets that accept
    /// no work, or could not be established.
    std::vector<Channel> unused_connections(Time now) const;
    Channel find_idle(TargetIndex target, Duration max_idle,
                      const std::vector<PoolConnection>& excluded, Time now) const;
    /// Closes an idle connection to the target of a call that can use none, if the target has no
    /// room for one more.
    void make_room_at_target(TargetIndex target, Time now);
    Channel open(TargetIndex target);
    /// Limit of all connections that applies to a new one to this target.
    std::size_t max_connections_for(TargetIndex target) const;
    /// The connection that has been idle longest; null if none is idle.
    Channel find_longest_idle() const;
    void end_probe(const HttpChannel& channel);
    void on_channel_change(TargetIndex target, HttpChannel& channel);
    void update_counts(TargetIndex target);

    EventLoop& m_loop;
    TargetTable& m_targets;
    std::vector<std::vector<Channel>> m_channels;
    std::unordered_map<PoolCallId, RunningCall> m_running_calls;
    std::unordered_map<const HttpChannel*, std::function<void(ConnectResult)>> m_probes;
    PoolCallId m_next_call = 1;
    std::size_t m_max_connections = std::numeric_limits<std::size_t>::max();
    std::size_t m_connections = 0;
    std::int64_t m_opened_connections = 0;
    std::int64_t m_refused_connections = 0;
};

}  // namespace ebonymount
