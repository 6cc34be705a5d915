#include "front/store_call.h"

#include <memory>

namespace ebonymount {

void call_store(EventLoop& loop, const StoreCall& call,
                std::function<void(CallStatus, const HttpResponseMessage&)> on_end) {
    const std::shared_ptr<HttpChannel> channel =
        HttpChannel::open(loop, call.address, [](HttpChannel&) {});
    if (channel == nullptr) {
        on_end(CallStatus::not_sent, HttpResponseMessage{});
        return;
    }
    const std::weak_ptr<HttpChannel> weak = channel;
    loop.run_at(monotonic_now() + call.timeout, [weak] {
        const std::shared_ptr<HttpChannel> open = weak.lock();
        if (open != nullptr) {
            open->close();
        }
    });
    ChannelCall request;
    request.make_request = [call] {
        const HttpHeaders headers = {{"Host", call.address}, {"Content-Type", "application/json"}};
        return encode(HttpRequestMessage{call.method, call.path, headers, call.body, false});
    };
    request.on_sent = [] {
    };
    request.on_end = std::move(on_end);
    channel->start(std::move(request));
}

}  // namespace ebonymount
