// One call to the platform's store on a connection of its own, for calls that are rare.
#pragma once

#include <functional>
#include <string>

#include "base/time.h"
#include "io/event_loop.h"
#include "io/http_channel.h"

namespace ebonymount {

/// The call; `body` may be empty.
struct StoreCall {
    std::string address;
    std::string method;
    std::string path;
    std::string body;
    /// The connection is closed if there is no response by then.
    Duration timeout{};
};

/// Starts the call. `on_end` is called once, at once if no connection can be opened.
void call_store(EventLoop& loop, const StoreCall& call,
                std::function<void(CallStatus, const HttpResponseMessage&)> on_end);

}  // namespace ebonymount
