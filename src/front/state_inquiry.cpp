#include "front/state_inquiry.h"

#include <utility>

namespace ebonymount {
namespace {

/// Pause before a node that has not read the store in its present era is asked again.
constexpr Duration RETRY_PAUSE = from_ms(50);

/// A longer answer is none: the largest object of the store, escaped twice.
constexpr std::size_t MAX_ANSWER_BYTES = 4000000;

}  // namespace

StateInquiry::StateInquiry(EventLoop& loop, Metrics& metrics)
    : m_loop(loop),
      m_traffic{metrics.counter("ebonymount_peer_bytes_in_total"),
                metrics.counter("ebonymount_peer_bytes_out_total")},
      m_peers(loop, m_traffic) {}

void StateInquiry::begin(const std::vector<std::string>& addresses, std::int64_t era,
                         EndHandler on_end) {
    m_request = encode_state_request(era);
    m_on_end = std::move(on_end);
    m_open_calls = addresses.size();
    if (addresses.empty()) {
        end(std::nullopt);
        return;
    }
    for (const std::string& address : addresses) {
        ask(address);
    }
    m_loop.run_at(monotonic_now() + INQUIRY_TIME, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            end(std::nullopt);
        }
    });
}

void StateInquiry::ask(const std::string& address) {
    const std::shared_ptr<std::string> text = std::make_shared<std::string>();
    StreamCallbacks events;
    events.on_data = [text](std::string_view bytes) {
        if (text->size() < MAX_ANSWER_BYTES) {
            text->append(bytes);
        }
    };
    events.on_end = [this, text, address,
                     alive = std::weak_ptr<bool>(m_alive)](StreamStatus status) {
        if (!alive.expired()) {
            take_answer(address, status == StreamStatus::complete ? decode_state_answer(*text)
                                                                  : StateAnswer{});
        }
    };
    m_peers.call(address, STATE_INQUIRY_PATH, m_request, std::move(events));
}

void StateInquiry::take_answer(const std::string& address, const StateAnswer& answer) {
    switch (answer.status) {
        case StateAnswer::Status::complete:
            end(answer.state);
            return;
        case StateAnswer::Status::not_yet:
            m_loop.run_at(monotonic_now() + RETRY_PAUSE,
                          [this, address, alive = std::weak_ptr<bool>(m_alive)] {
                              if (!alive.expired() && m_on_end) {
                                  ask(address);
                              }
                          });
            return;
        case StateAnswer::Status::unknown:
            break;
    }
    --m_open_calls;
    if (m_open_calls == 0) {
        end(std::nullopt);
    }
}

void StateInquiry::end(const std::optional<UnconfirmedState>& state) {
    const EndHandler on_end = std::exchange(m_on_end, nullptr);
    if (!on_end) {
        return;
    }
    // A session must not be closed by the handler of its own call.
    m_loop.post([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            m_peers.close_all();
        }
    });
    on_end(state);
}

}  // namespace ebonymount
