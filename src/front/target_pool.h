// Connections to targets, kept between calls, and the calls on them.
//
// Keeps the connection counts in the target table, which decides how many a node may hold. The
// most recently used idle connection goes first, because targets forget the others.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "io/event_loop.h"
#include "io/http_channel.h"
#include "policy/target_state.h"

namespace ebonymount {

/// Names a call of the pool.
using PoolCallId = std::uint64_t;

/// One call to a target.
struct PoolCall {
    TargetIndex target = 0;
    ChannelCall call;
    /// When the call is aborted if nothing has ended it.
    Time deadline{};
    /// Only connections that were used this recently; older ones may have been dropped unseen.
    Duration freshest_idle = from_ms(30000);
};

class TargetPool {
public:
    TargetPool(EventLoop& loop, TargetTable& targets);

    /// Starts a call; `call.on_end` is called once, later or, without a connection, at once.
    PoolCallId start(PoolCall call);

    /// Takes back a call that has not been sent; `on_end` is not called. False if it was sent.
    bool withdraw(PoolCallId call);

    /// Closes the connection of a call that is under way; `on_end` is called with `aborted`.
    void abort(PoolCallId call);

    /// Aborts late calls, gives up slow connects and closes connections that are idle for too
    /// long or belong to targets that take no work.
    void sweep(Time now);

    /// Connections opened so far.
    std::int64_t opened() const;

private:
    using Channel = std::shared_ptr<HttpChannel>;
    struct Running {
        TargetIndex target = 0;
        Channel channel;
        Time deadline{};
    };

    Channel take_idle(TargetIndex target, Duration freshest_idle, Time now);
    Channel open(TargetIndex target);
    void on_change(TargetIndex target, HttpChannel& channel);
    void count(TargetIndex target);

    EventLoop& m_loop;
    TargetTable& m_targets;
    std::vector<std::vector<Channel>> m_channels;
    std::unordered_map<PoolCallId, Running> m_running;
    PoolCallId m_next_call = 1;
    std::int64_t m_opened = 0;
};

}  // namespace ebonymount
