// Simulated callers and load balancer of the soak environment.
#include <Poco/StringTokenizer.h>

#include "platform/names.h"
#include "soak_environment.h"

namespace soak {

using ebonymount::CallStatus;
using ebonymount::ChannelCall;
using ebonymount::from_ms;
using ebonymount::HttpChannel;
using ebonymount::HttpRequestMessage;
using ebonymount::HttpResponseMessage;
using ebonymount::monotonic_now;
using ebonymount::uniform;
namespace names = ebonymount::platform::names;

namespace {

constexpr Duration READINESS_INTERVAL = from_ms(1000);
constexpr std::size_t MAX_CALLER_CONNECTIONS = 12;

std::vector<std::string> split(std::string_view text) {
    const Poco::StringTokenizer tokens(
        std::string(text), ",",
        Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    return {tokens.begin(), tokens.end()};
}

}  // namespace

void SoakEnvironment::check_readiness(Node& node) {
    if (m_ending) {
        return;
    }
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    node.readiness =
        HttpChannel::open(m_loop, address(NODES, static_cast<std::size_t>(node.host), READY_PORT),
                          [](HttpChannel&) {});
    if (node.readiness != nullptr) {
        ChannelCall call;
        call.make_request = [] {
            return encode(HttpRequestMessage{
                "GET", names::READINESS_PATH, {{"Host", "soak.example"}}, "", false});
        };
        call.is_mine = [](const HttpResponseMessage&) {
            return true;
        };
        call.on_sent = [] {
        };
        call.on_end = [answered](CallStatus end, const HttpResponseMessage& answer) {
            *answered = end == CallStatus::answered && answer.status == 200;
        };
        node.readiness->start(std::move(call));
    }
    after(READINESS_INTERVAL, [this, &node, answered] {
        node.missed_checks = *answered ? 0 : node.missed_checks + 1;
        node.in_rotation = *answered || (node.in_rotation && node.missed_checks < 2);
        check_readiness(node);
    });
}

void SoakEnvironment::generate_traffic() {
    if (!m_traffic) {
        return;
    }
    std::vector<Node*> ready;
    for (const std::unique_ptr<Node>& node : m_nodes) {
        if (node->in_rotation) {
            ready.push_back(node.get());
        }
    }
    if (!ready.empty()) {
        send_request(*ready[m_random() % ready.size()]);
    }
    const double gap_us = 1e6 / m_rate * 2.0 * uniform(m_random);
    after(Duration(static_cast<std::int64_t>(gap_us)), [this] { generate_traffic(); });
}

SoakEnvironment::Channel SoakEnvironment::pick_connection(Node& node) {
    std::erase_if(node.callers, [](const Channel& channel) { return channel->is_closed(); });
    std::vector<Channel> idle;
    for (const Channel& channel : node.callers) {
        if (channel->is_idle()) {
            idle.push_back(channel);
        }
    }
    if (!idle.empty() &&
        (uniform(m_random) < 0.8 || node.callers.size() >= MAX_CALLER_CONNECTIONS)) {
        return idle[m_random() % idle.size()];
    }
    const Channel channel =
        HttpChannel::open(m_loop, address(CALLER_LINKS, static_cast<std::size_t>(node.host), PORT),
                          [](HttpChannel&) {});
    if (channel != nullptr) {
        node.callers.push_back(channel);
    }
    return channel;
}

void SoakEnvironment::send_request(Node& node) {
    const Channel channel = pick_connection(node);
    if (channel == nullptr) {
        return;
    }
    auto route = m_config.routes.begin();
    std::advance(route, static_cast<std::ptrdiff_t>(m_random() % m_config.routes.size()));
    SoakRequest request;
    request.id = "r" + std::to_string(m_next_id++);
    request.node = node.name;
    request.route = route->first;
    request.path = "/" + route->first + "/" + ebonymount::random_id(m_random);
    request.method = route->second.fan_out ? "GET" : "POST";
    request.body = route->second.fan_out ? "" : "body of " + request.id;
    const Duration deadline = route->second.timeout + from_ms(200);
    const bool disconnects = uniform(m_random) < m_disconnect_share;
    ChannelCall call;
    call.make_request = [this, request, deadline]() mutable {
        request.sent = monotonic_now();
        m_checker.on_request(request);
        return encode(
            HttpRequestMessage{request.method,
                               request.path,
                               {{"Host", "soak.example"},
                                {names::REQUEST_ID, request.id},
                                {names::DEADLINE, std::to_string(deadline.count() / 1000)}},
                               request.body,
                               true});
    };
    call.is_mine = [](const HttpResponseMessage&) {
        return true;
    };
    call.on_sent = [] {
    };
    call.on_end = [this, id = request.id](CallStatus end, const HttpResponseMessage& answer) {
        on_response(id, end, answer);
    };
    channel->start(std::move(call));
    const std::weak_ptr<HttpChannel> weak = channel;
    after(disconnects ? from_ms(60) : deadline + m_bounds.timeout_slack,
          [this, weak, disconnects, id = request.id] {
              const Channel open = weak.lock();
              // The connection may already carry a later request whose own deadline has not passed.
              if (open != nullptr && open->has_call() && m_checker.is_open(id)) {
                  if (disconnects) {
                      m_checker.on_caller_disconnected(id, monotonic_now());
                  }
                  open->close();
              }
          });
}

void SoakEnvironment::on_response(const std::string& id, CallStatus end,
                                  const HttpResponseMessage& answer) {
    if (end == CallStatus::aborted || end == CallStatus::not_sent) {
        return;
    }
    SoakResponse response;
    if (end == CallStatus::malformed) {
        m_checker.on_malformed(id);
    }
    if (end == CallStatus::answered) {
        response.status = answer.status;
        response.request_id = std::string(find_header(answer.headers, names::REQUEST_ID));
        response.signature = std::string(find_header(answer.headers, names::SIGNATURE));
        response.part_signatures = split(find_header(answer.headers, names::PART_SIGNATURES));
        const std::string missing(find_header(answer.headers, names::MISSING_PARTS));
        response.missing_parts = missing.empty() ? 0 : std::stoll(missing);
        response.body = answer.body;
    }
    m_checker.on_response(id, response, monotonic_now());
}

}  // namespace soak
