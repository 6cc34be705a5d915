// Simulated callers and load balancer of the soak environment.
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <map>

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

/// The operator probes this long after a change must be in force, one node after the other.
constexpr Duration PROBE_MARGIN = from_ms(100);
constexpr Duration PROBE_GAP = from_ms(4);

/// Time until the connection of a probe is closed; longer than the deadline of any route.
constexpr Duration PROBE_LENGTH = from_ms(4000);

/// Share of the requests that go to any node with an open connection, in rotation or not: callers
/// keep their connections until the process is gone.
constexpr double OPEN_CONNECTION_SHARE = 0.3;

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
    node.readiness_channel =
        HttpChannel::open(m_loop, address(NODES, static_cast<std::size_t>(node.host), READY_PORT),
                          [](HttpChannel&) {});
    if (node.readiness_channel != nullptr) {
        ChannelCall call;
        call.make_request = [] {
            return encode(HttpRequestMessage{
                "GET", names::READINESS_PATH, {{"Host", "soak.example"}}, "", false});
        };
        call.on_sent = [] {
        };
        call.on_end = [answered](CallStatus status, const HttpResponseMessage& message) {
            *answered = status == CallStatus::answered && message.status == 200;
        };
        node.readiness_channel->start(std::move(call));
    }
    run_after(READINESS_INTERVAL, [this, &node, answered] {
        node.missed_checks = *answered ? 0 : node.missed_checks + 1;
        node.in_rotation = *answered || (node.in_rotation && node.missed_checks < 2);
        check_readiness(node);
    });
}

std::vector<SoakEnvironment::Node*> SoakEnvironment::nodes_for_new_connections() const {
    std::map<std::string, std::vector<Node*>> all;
    std::map<std::string, std::vector<Node*>> in_rotation;
    for (const std::unique_ptr<Node>& node : m_nodes) {
        all[node->data_centre].push_back(node.get());
        if (node->in_rotation) {
            in_rotation[node->data_centre].push_back(node.get());
        }
    }
    std::vector<Node*> nodes;
    for (const auto& [data_centre, ready] : in_rotation) {
        // A stopping node gets connections again if fewer than half of the others are left.
        const std::vector<Node*>& used =
            2 * ready.size() < all[data_centre].size() ? all[data_centre] : ready;
        nodes.insert(nodes.end(), used.begin(), used.end());
    }
    return nodes;
}

std::vector<SoakEnvironment::Node*> SoakEnvironment::nodes_with_open_connections() const {
    std::vector<Node*> nodes;
    for (const std::unique_ptr<Node>& node : m_nodes) {
        if (std::any_of(node->caller_connections.begin(), node->caller_connections.end(),
                        [](const Channel& channel) { return channel->is_idle(); })) {
            nodes.push_back(node.get());
        }
    }
    return nodes;
}

void SoakEnvironment::generate_traffic() {
    if (!m_generating_traffic) {
        return;
    }
    const bool uses_open_connection = uniform(m_random) < OPEN_CONNECTION_SHARE;
    const std::vector<Node*> nodes =
        uses_open_connection ? nodes_with_open_connections() : nodes_for_new_connections();
    if (!nodes.empty()) {
        Node& node = *nodes[m_random() % nodes.size()];
        auto route = m_config.routes.begin();
        std::advance(route, static_cast<std::ptrdiff_t>(m_random() % m_config.routes.size()));
        send_request(node, pick_connection(node, uses_open_connection), route->second);
    }
    const double gap_us = 1e6 / m_rate_per_s * 2.0 * uniform(m_random);
    run_after(Duration(static_cast<std::int64_t>(gap_us)), [this] { generate_traffic(); });
}

SoakEnvironment::Channel SoakEnvironment::pick_connection(Node& node, bool must_be_open) {
    std::erase_if(node.caller_connections,
                  [](const Channel& channel) { return channel->is_closed(); });
    std::vector<Channel> idle;
    for (const Channel& channel : node.caller_connections) {
        if (channel->is_idle()) {
            idle.push_back(channel);
        }
    }
    if (!idle.empty() && (must_be_open || uniform(m_random) < 0.8 ||
                          node.caller_connections.size() >= MAX_CALLER_CONNECTIONS)) {
        return idle[m_random() % idle.size()];
    }
    if (must_be_open) {
        return nullptr;
    }
    const Channel channel =
        HttpChannel::open(m_loop, address(CALLER_LINKS, static_cast<std::size_t>(node.host), PORT),
                          [](HttpChannel&) {});
    if (channel != nullptr) {
        node.caller_connections.push_back(channel);
    }
    return channel;
}

void SoakEnvironment::publish_and_probe(const std::string& route) {
    publish_config();
    for (const Duration settled : {Duration::zero(), m_bounds.stable_window}) {
        run_after(m_bounds.config_apply + settled + PROBE_MARGIN,
                  [this, route] { probe_nodes(route); });
    }
}

void SoakEnvironment::probe_nodes(const std::string& route) {
    Duration delay{};
    for (const std::unique_ptr<Node>& node : m_nodes) {
        run_after(delay, [this, &node = *node, route] {
            const Channel channel =
                HttpChannel::open(m_loop, address(NODES, static_cast<std::size_t>(node.host), PORT),
                                  [](HttpChannel&) {});
            if (channel != nullptr && !m_ending) {
                send_request(node, channel, m_config.routes.at(route));
                run_after(PROBE_LENGTH, [channel] { channel->close(); });
            }
        });
        delay += PROBE_GAP;
    }
}

void SoakEnvironment::probe_all_routes() {
    Duration delay{};
    for (const auto& [name, route] : m_config.routes) {
        run_after(delay, [this, name = name] { probe_nodes(name); });
        delay += PROBE_GAP * static_cast<std::int64_t>(m_nodes.size());
    }
}

void SoakEnvironment::send_request(Node& node, const Channel& channel, const SoakRoute& route) {
    if (channel == nullptr) {
        return;
    }
    SoakRequest request;
    request.id = "r" + std::to_string(m_next_id++);
    request.node = node.name;
    request.route = route.name;
    request.path = "/" + route.name + "/" + ebonymount::random_id(m_random);
    request.method = route.fan_out ? "GET" : "POST";
    request.body = route.fan_out ? "" : "body of " + request.id;
    const Duration deadline = route.timeout + from_ms(200);
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
    call.on_sent = [] {
    };
    call.on_end = [this, id = request.id](CallStatus status, const HttpResponseMessage& message) {
        on_response(id, status, message);
    };
    channel->start(std::move(call));
    const std::weak_ptr<HttpChannel> weak = channel;
    run_after(disconnects ? from_ms(60) : deadline + m_bounds.timeout_slack,
              [this, weak, disconnects, id = request.id] {
                  const Channel open = weak.lock();
                  // The connection may already carry a later request whose own deadline has not
                  // passed.
                  if (open != nullptr && open->has_call() && m_checker.is_open(id)) {
                      if (disconnects) {
                          m_checker.on_caller_disconnected(id, monotonic_now());
                      }
                      open->close();
                  }
              });
}

void SoakEnvironment::on_response(const std::string& id, CallStatus status,
                                  const HttpResponseMessage& message) {
    if (status == CallStatus::aborted || status == CallStatus::not_sent) {
        return;
    }
    SoakResponse response;
    if (status == CallStatus::malformed) {
        m_checker.on_malformed(id);
    }
    if (status == CallStatus::answered) {
        response.status = message.status;
        response.request_id = std::string(find_header(message.headers, names::REQUEST_ID));
        response.signature = std::string(find_header(message.headers, names::SIGNATURE));
        response.part_signatures = split(find_header(message.headers, names::PART_SIGNATURES));
        const std::string missing(find_header(message.headers, names::MISSING_PARTS));
        response.missing_parts = missing.empty() ? 0 : std::stoll(missing);
        response.body = message.body;
    }
    m_checker.on_response(id, response, monotonic_now());
}

}  // namespace soak
