#include "platform_target.h"

#include <stdexcept>

#include "base/hash.h"
#include "io/http_status.h"
#include "platform/names.h"
#include "policy/record_merge.h"

namespace standin {

using ebonymount::find_header;
using ebonymount::HttpRequestMessage;
using ebonymount::HttpResponseMessage;
using ebonymount::monotonic_now;
using ebonymount::uniform;
namespace names = ebonymount::platform::names;

namespace {

constexpr int INTERNAL_ERROR = 500;

}  // namespace

PlatformTarget::PlatformTarget(ebonymount::EventLoop& loop,
                               const PlatformTargetParameters& parameters,
                               const PlatformTargetObserver& observer)
    : m_loop(loop),
      m_parameters(parameters),
      m_observer(observer),
      m_random(ebonymount::stable_hash(parameters.id)) {}

std::shared_ptr<PlatformTarget> PlatformTarget::open(ebonymount::EventLoop& loop,
                                                     const PlatformTargetParameters& parameters,
                                                     const PlatformTargetObserver& observer) {
    const std::shared_ptr<PlatformTarget> target(new PlatformTarget(loop, parameters, observer));
    target->listen();
    return target;
}

void PlatformTarget::listen() {
    const std::weak_ptr<PlatformTarget> weak = weak_from_this();
    ebonymount::HttpListenerOptions options;
    options.max_connections = m_parameters.max_connections;
    options.limits.max_header_bytes = m_parameters.max_header_bytes;
    options.at_connection_limit = ebonymount::AtConnectionLimit::refuse_new;
    const auto handler = [weak](const Connection& connection, const HttpRequestMessage& request) {
        const std::shared_ptr<PlatformTarget> self = weak.lock();
        if (self != nullptr && !self->m_down) {
            self->on_request(connection, request);
        } else {
            connection->drop();
        }
    };
    ebonymount::Result<std::shared_ptr<ebonymount::HttpListener>> listener =
        ebonymount::HttpListener::listen(m_loop, m_parameters.address, options, handler);
    if (!has_value(listener)) {
        throw std::runtime_error(describe(error_of(listener)));
    }
    m_listener = value_of(listener);
}

void PlatformTarget::restart() {
    if (m_down) {
        m_down = false;
        m_running = 0;
        listen();
    }
}

void PlatformTarget::crash() {
    if (!m_down) {
        m_down = true;
        m_queued.clear();
        m_listener->close();
    }
}

void PlatformTarget::set_behaviour(const TargetBehaviour& behaviour) {
    m_behaviour = behaviour;
}

const TargetBehaviour& PlatformTarget::behaviour() const {
    return m_behaviour;
}

const PlatformTargetParameters& PlatformTarget::parameters() const {
    return m_parameters;
}

bool PlatformTarget::is_down() const {
    return m_down;
}

void PlatformTarget::add_reports(HttpResponseMessage& response) const {
    if (m_behaviour.leaving) {
        response.headers.push_back({names::LEAVING, "1"});
    }
    if (!m_behaviour.limit.empty()) {
        response.headers.push_back({names::RATE_LIMIT, m_behaviour.limit});
    }
}

void PlatformTarget::refuse(const Connection& connection, int status,
                            const std::string& request_id) {
    HttpResponseMessage response;
    response.status = status;
    response.headers.push_back({names::REQUEST_ID, request_id});
    response.headers.push_back({names::INSTANCE_ID, m_parameters.id});
    response.headers.push_back({names::NOT_EXECUTED, "1"});
    if (!m_behaviour.retry_after.empty()) {
        response.headers.push_back({names::RETRY_AFTER, m_behaviour.retry_after});
    }
    add_reports(response);
    connection->respond(std::move(response));
}

void PlatformTarget::on_request(const Connection& connection, const HttpRequestMessage& request) {
    const std::string request_id(find_header(request.headers, names::REQUEST_ID));
    const std::string_view expected = find_header(request.headers, names::EXPECT_INSTANCE);
    if (!expected.empty() && expected != m_parameters.id) {
        refuse(connection, ebonymount::http::MISDIRECTED, request_id);
        return;
    }
    m_observer.on_arrival(*this, request);
    const bool is_full =
        m_running >= m_parameters.slots && m_queued.size() >= m_parameters.max_queued;
    if (is_full || uniform(m_random) < m_behaviour.refused_share) {
        refuse(connection, ebonymount::http::UNAVAILABLE, request_id);
        return;
    }
    const std::shared_ptr<Work> work = std::make_shared<Work>();
    work->connection = connection;
    work->request_id = request_id;
    work->path = request.target;
    connection->on_caller_gone([work, on_cancelled = m_observer.on_cancelled] {
        work->cancelled = true;
        if (!work->done) {
            on_cancelled(work->request_id);
        }
    });
    if (m_running >= m_parameters.slots) {
        m_queued.push_back(work);
    } else {
        run(work);
    }
}

void PlatformTarget::run(const std::shared_ptr<Work>& work) {
    ++m_running;
    m_observer.on_run(*this, work->request_id);
    if (!m_behaviour.crashing_path.empty() && work->path == m_behaviour.crashing_path) {
        crash();
        return;
    }
    // 98 % of the requests take 0.6 to 1.4 times the service time, the others five times.
    const double spread = uniform(m_random) < 0.02 ? 5.0 : 0.6 + 0.8 * uniform(m_random);
    const ebonymount::Duration service_time =
        ebonymount::scaled(m_parameters.service_time, spread * m_behaviour.slow_factor);
    const std::weak_ptr<PlatformTarget> weak = weak_from_this();
    m_loop.run_at(monotonic_now() + service_time, [weak, work] {
        const std::shared_ptr<PlatformTarget> self = weak.lock();
        if (self != nullptr && !self->m_down) {
            self->finish(work);
        }
    });
}

std::string PlatformTarget::make_records() {
    std::string records;
    while (records.size() < m_parameters.records * ebonymount::RECORD_BYTES) {
        records += ebonymount::random_id(m_random);
    }
    return records;
}

void PlatformTarget::finish(const std::shared_ptr<Work>& work) {
    --m_running;
    work->done = true;
    if (!work->cancelled) {
        const bool success = uniform(m_random) >= m_behaviour.failed_share;
        HttpResponseMessage response;
        response.status = success ? ebonymount::http::OK : INTERNAL_ERROR;
        const std::string signature = m_parameters.id + "." + std::to_string(++m_response_count) +
                                      m_behaviour.signature_suffix;
        response.headers.push_back({names::REQUEST_ID, work->request_id});
        response.headers.push_back({names::SIGNATURE, signature});
        response.headers.push_back({names::LOAD, std::to_string(m_running) + "," +
                                                     std::to_string(m_queued.size()) + "," +
                                                     std::to_string(m_parameters.slots)});
        add_reports(response);
        response.body = make_records();
        m_observer.on_response(*this, work->request_id, signature, response.body, success);
        if (uniform(m_random) < m_behaviour.lost_response_share) {
            work->connection->drop();
        } else {
            work->connection->respond(std::move(response));
        }
    }
    work->connection.reset();
    start_queued();
}

void PlatformTarget::start_queued() {
    while (!m_queued.empty() && m_running < m_parameters.slots) {
        const std::shared_ptr<Work> work = m_queued.front();
        m_queued.pop_front();
        if (!work->cancelled) {
            run(work);
        }
    }
}

}  // namespace standin
