// Adaptive limit on the concurrent requests of a service at a gateway (AIMD).
//
// A response is worth little if some of its shards were refused for overload. Once targets are
// overloaded, the gateway therefore refuses whole requests before anything is sent. The limit grows
// by one for every `limit` requests without overload and is cut when a request met overload.
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

/// Counts a request in flight, or returns false if the limit is reached.
bool try_admit(AdaptiveConcurrencyLimit& limit);

/// Counts the end of a request and adapts the limit. `overloaded` means that one of its sub-queries
/// could not be started in time.
void on_request_end(AdaptiveConcurrencyLimit& limit, bool overloaded, Time now);

}  // namespace ebonymount
