// How many requests of a service a gateway serves at once.
//
// A query is worth little when some of its shards are refused for overload. So the gateway itself
// refuses whole requests, before anything is sent, once targets are overloaded. The limit grows by
// one for each limit's worth of good requests and is cut when a request met overload.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace ebonymount {

/// The limit of one service at one gateway.
struct AdaptiveConcurrencyLimit {
    double limit = 16.0;
    std::int64_t in_flight = 0;
    Time last_cut{};

    friend bool operator==(const AdaptiveConcurrencyLimit&,
                           const AdaptiveConcurrencyLimit&) = default;
};

/// Counts a request in, or refuses it.
bool try_admit(AdaptiveConcurrencyLimit& limit);

/// Counts a request out; `overloaded` when a target could not take a sub-query of it in time.
void on_request_end(AdaptiveConcurrencyLimit& limit, bool overloaded, Time now);

}  // namespace ebonymount
