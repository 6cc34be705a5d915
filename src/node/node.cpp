#include "node/node.h"

#include <chrono>
#include <set>

namespace ebonymount {
namespace {

constexpr int ADMIN_THREADS = 8;

/// Maximum wait for accepted requests to finish at a graceful stop.
constexpr Duration FINISH_TIMEOUT = from_ms(70000);

/// Maximum wait for the outcomes of claimed keys to be recorded at a graceful stop.
constexpr Duration RECORD_TIMEOUT = from_ms(5000);

constexpr Duration POLL_INTERVAL = from_ms(5);

std::int64_t new_incarnation() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Number of a query's sub-queries without an outcome. The stream is finished after the last
/// outcome.
struct PendingItemCount {
    std::mutex mutex;
    std::size_t count = 0;
};

}  // namespace

Result<std::unique_ptr<Node>> Node::start(const NodeSettings& settings) {
    std::unique_ptr<Node> node(new Node(settings));
    const Result<Done> started = node->start_parts();
    if (!has_value(started)) {
        return error_of(started);
    }
    return node;
}

Node::Node(const NodeSettings& settings)
    : m_state(settings, new_incarnation()),
      m_traffic{m_state.metrics().counter("ebonymount_peer_bytes_in_total"),
                m_state.metrics().counter("ebonymount_peer_bytes_out_total")},
      m_peers(m_loop, m_traffic),
      m_platform(settings.platform_address, settings.platform_timeout, m_state.metrics()),
      m_relay(m_state),
      m_idempotency_store(m_state, m_platform),
      m_gateway(m_state, m_relay, m_peers, m_idempotency_store),
      m_gossiper(m_state, m_peers),
      m_sync(m_state, m_platform),
      m_lease_manager(m_state, m_platform, m_relay, m_peers),
      m_commands(m_state, m_platform, [this] { m_gossiper.gossip_now(); }),
      m_queries(m_state, m_platform, m_relay, m_gateway),
      m_caller_api(m_state, m_gateway),
      m_admin_api(m_commands, m_queries),
      m_view_tasks(1) {}

Node::~Node() {
    if (!m_stopped) {
        m_caller_server.reset();
        m_admin_server.reset();
        m_sync.stop();
        m_gossiper.stop();
        m_lease_manager.stop_gracefully();
        m_view_tasks.stop();
        m_relay.stop();
        m_loop.stop();
    }
}

Result<Done> Node::start_parts() {
    const NodeSettings& settings = m_state.settings();
    const Result<std::shared_ptr<PeerServer>> peers = PeerServer::listen(
        m_loop, settings.peer_address,
        [this](const std::shared_ptr<ServerStream>& stream, const std::string& path,
               const std::string& body) { serve_peer(stream, path, body); },
        m_traffic);
    if (!has_value(peers)) {
        return error_of(peers);
    }
    m_peer_server = value_of(peers);
    Result<std::unique_ptr<HttpServer>> admin =
        HttpServer::start({settings.admin_address, ADMIN_THREADS},
                          [this](const HandlerRequest& call) { return m_admin_api.handle(call); });
    if (!has_value(admin)) {
        return error_of(admin);
    }
    m_admin_server = std::move(std::get<std::unique_ptr<HttpServer>>(admin));
    Result<std::unique_ptr<HttpServer>> callers =
        HttpServer::start({settings.caller_address, static_cast<int>(settings.caller_threads)},
                          [this](const HandlerRequest& call) { return m_caller_api.handle(call); });
    if (!has_value(callers)) {
        return error_of(callers);
    }
    m_caller_server = std::move(std::get<std::unique_ptr<HttpServer>>(callers));
    m_state.on_view_change([this] { m_view_tasks.post([this] { m_relay.apply_view(); }); });
    m_sync.start();
    m_gossiper.start();
    m_lease_manager.start();
    log_info("node", "Started " + m_state.self().node + " in data centre " +
                         m_state.self().data_centre + ".");
    return Done{};
}

void Node::serve_peer(const std::shared_ptr<ServerStream>& stream, const std::string& path,
                      const std::string& body) {
    if (path == "/query") {
        serve_query(stream, body);
        return;
    }
    if (path == "/exchange") {
        const Result<std::string> response = m_gossiper.respond(body);
        if (has_value(response)) {
            stream->write(value_of(response));
        }
    } else if (path == "/cancel") {
        const Result<WireCancel> cancel = decode_cancel(body);
        if (has_value(cancel)) {
            m_relay.cancel(value_of(cancel));
        }
    } else if (path == "/handover") {
        const Result<Done> received = m_lease_manager.receive_handover(body);
        if (!has_value(received)) {
            log_warning("peers", "Refused a handover. " + describe(error_of(received)));
        }
    }
    stream->finish();
}

void Node::serve_query(const std::shared_ptr<ServerStream>& stream, const std::string& body) {
    const Result<WireQuery> query = decode_query(body);
    if (!has_value(query)) {
        log_warning("relay", "Refused a query. " + describe(error_of(query)));
        stream->finish();
        return;
    }
    const std::shared_ptr<PendingItemCount> pending = std::make_shared<PendingItemCount>();
    pending->count = value_of(query).items.size();
    m_relay.submit(value_of(query), [stream, pending](const WireOutcome& outcome) {
        stream->write(encode(outcome));
        const std::lock_guard<std::mutex> lock(pending->mutex);
        if (--pending->count == 0) {
            stream->finish();
        }
    });
}

void Node::stop_gracefully() {
    m_stopped = true;
    m_state.set_draining();
    log_info("node", "Stopping. Waiting for the load balancer to stop sending requests.");
    std::this_thread::sleep_for(m_state.settings().drain);
    const Time deadline = monotonic_now() + FINISH_TIMEOUT;
    while (m_gateway.in_flight() > 0 && monotonic_now() < deadline) {
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    m_caller_server->stop(false);
    m_lease_manager.stop_gracefully();
    m_idempotency_store.stop(RECORD_TIMEOUT);
    m_sync.stop();
    m_gossiper.stop();
    m_admin_server->stop(true);
    m_view_tasks.stop();
    m_relay.stop();
    std::this_thread::sleep_for(POLL_INTERVAL * 10);
    m_peers.close_all();
    m_loop.stop();
    log_info("node", "Stopped.");
}

}  // namespace ebonymount
