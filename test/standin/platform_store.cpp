#include "platform_store.h"

#include <Poco/URI.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "io/http_status.h"
#include "platform/names.h"

namespace standin {

using ebonymount::from_ms;
using ebonymount::HttpRequestMessage;
using ebonymount::HttpResponseMessage;
using ebonymount::monotonic_now;
using Json = nlohmann::json;

namespace {

const std::string PREFIX = "/ebonymount/objects/";
constexpr std::size_t PAGE_SIZE = 50;
constexpr ebonymount::Duration WATCH_CHECK_INTERVAL = from_ms(100);

Json object_json(const std::string& name, std::int64_t revision, const Json& spec) {
    return {{"meta",
             {{"name", name},
              {"revision", revision},
              {"create_rev", revision},
              {"finalizers", Json::array()},
              {"deleting", false}}},
            {"spec", spec},
            {"status", nullptr}};
}

}  // namespace

PlatformStore::PlatformStore(ebonymount::EventLoop& loop, const std::string& address,
                             std::uint64_t seed)
    : m_loop(loop), m_random(seed) {
    listen(address);
    poll_watches();
}

PlatformStore::~PlatformStore() {
    for (const std::shared_ptr<ebonymount::HttpListener>& listener : m_listeners) {
        listener->close();
    }
}

std::string PlatformStore::listen(const std::string& address) {
    // The handler runs after this function has returned.
    const std::shared_ptr<std::string> own_address = std::make_shared<std::string>();
    const auto handler = [this, own_address](const Connection& connection,
                                             const HttpRequestMessage& request) {
        on_request(connection, request, *own_address);
    };
    ebonymount::Result<std::shared_ptr<ebonymount::HttpListener>> listener =
        ebonymount::HttpListener::listen(m_loop, address, {}, handler);
    if (!has_value(listener)) {
        throw std::runtime_error(describe(error_of(listener)));
    }
    m_listeners.push_back(value_of(listener));
    *own_address = m_listeners.back()->address();
    return *own_address;
}

std::string PlatformStore::open_address() {
    return listen("127.0.0.1:0");
}

void PlatformStore::set_kind_outage(const std::string& address, const std::string& kind,
                                    Outage outage) {
    m_kind_outages[{address, kind}] = outage;
    respond_to_watches();
}

Outage PlatformStore::kind_outage(const std::string& address, const std::string& kind) const {
    const auto found = m_kind_outages.find({address, kind});
    return found == m_kind_outages.end() ? Outage::none : found->second;
}

void PlatformStore::put(const std::string& kind, const std::string& name, const Json& spec) {
    append(kind, name, false, spec);
}

void PlatformStore::remove(const std::string& kind, const std::string& name) {
    append(kind, name, true, nullptr);
}

void PlatformStore::append(const std::string& kind, const std::string& name, bool removed,
                           const Json& spec) {
    m_history.changes.push_back({kind, name, ++m_history.revision, monotonic_now(), removed, spec});
    respond_to_watches();
}

void PlatformStore::set_faults(const PlatformFaults& faults) {
    m_faults = faults;
    respond_to_watches();
}

const PlatformFaults& PlatformStore::faults() const {
    return m_faults;
}

void PlatformStore::compact() {
    m_oldest_revision = m_history.revision;
    respond_to_watches();
}

void PlatformStore::take_copy() {
    m_copy = m_history;
}

std::vector<std::pair<std::string, std::string>> PlatformStore::return_from_copy() {
    History copy = m_copy.value_or(m_history);
    copy.era = m_history.era + 1;
    std::set<std::pair<std::string, std::string>> lost;
    for (std::size_t i = copy.changes.size(); i < m_history.changes.size(); ++i) {
        lost.emplace(m_history.changes[i].kind, m_history.changes[i].name);
    }
    m_earlier_history = std::move(m_history);
    m_history = std::move(copy);
    m_oldest_revision = std::min(m_oldest_revision, m_history.revision);
    m_copy.reset();
    respond_to_watches();
    return {lost.begin(), lost.end()};
}

void PlatformStore::set_era_header(std::optional<std::string> text) {
    m_has_era_header = text.has_value();
    m_era_text = std::move(text);
}

std::string PlatformStore::address() const {
    return m_listeners.front()->address();
}

std::set<std::string> PlatformStore::names(const std::string& kind) const {
    std::set<std::string> names;
    for (const auto& [name, change] : objects_of(m_history, kind, m_history.changes.size())) {
        names.insert(name);
    }
    return names;
}

std::int64_t PlatformStore::calls() const {
    return m_calls;
}

void PlatformStore::fail(const Connection& connection, Outage outage) {
    switch (outage) {
        case Outage::silent:
            // Keeps the connection open without a response, as a network partition does.
            connection->on_caller_gone([connection] {});
            break;
        case Outage::reset:
            connection->drop();
            break;
        case Outage::busy:
            respond(connection, ebonymount::http::UNAVAILABLE, Json::object());
            break;
        case Outage::none:
            break;
    }
}

void PlatformStore::on_request(const Connection& connection, const HttpRequestMessage& request,
                               const std::string& address) {
    ++m_calls;
    if (m_faults.outage != Outage::none) {
        fail(connection, m_faults.outage);
        return;
    }
    connection->on_caller_gone([] {});
    m_loop.run_at(monotonic_now() + m_faults.response_time,
                  [this, connection, request, address] { serve(connection, request, address); });
}

void PlatformStore::serve(const Connection& connection, const HttpRequestMessage& request,
                          const std::string& address) {
    const Poco::URI uri(request.target);
    Query query;
    for (const auto& [key, value] : uri.getQueryParameters()) {
        query[key] = value;
    }
    if (uri.getPath().rfind(PREFIX, 0) != 0) {
        respond(connection, ebonymount::http::NOT_FOUND, Json::object());
        return;
    }
    const std::string rest = uri.getPath().substr(PREFIX.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const Outage outage = kind_outage(address, kind);
    if (outage != Outage::none) {
        fail(connection, outage);
        return;
    }
    if (request.method == "GET") {
        if (query.count("watch") > 0) {
            watch(connection, address, kind, query);
        } else {
            list(connection, kind, query);
        }
        return;
    }
    const Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
    const std::string name = slash != std::string::npos
                                 ? rest.substr(slash + 1)
                                 : body.at("meta").at("name").get<std::string>();
    write(connection, request.method, kind, name, body.value("spec", Json()));
}

const PlatformStore::History& PlatformStore::history_for(bool stale) const {
    return stale && m_faults.stale_reads_are_of_earlier_era ? m_earlier_history : m_history;
}

std::size_t PlatformStore::visible_changes(const History& history, bool stale) const {
    const ebonymount::Time now = monotonic_now();
    const ebonymount::Time until =
        stale ? std::min(now - m_faults.stale_by, m_faults.stale_until) : now;
    std::size_t count = history.changes.size();
    while (count > 0 && history.changes[count - 1].at > until) {
        --count;
    }
    return count;
}

std::map<std::string, const PlatformStore::Change*> PlatformStore::objects_of(
    const History& history, const std::string& kind, std::size_t changes) {
    std::map<std::string, const Change*> objects;
    for (std::size_t i = 0; i < changes; ++i) {
        const Change& change = history.changes[i];
        if (change.kind != kind) {
            continue;
        }
        if (change.removed) {
            objects.erase(change.name);
        } else {
            objects[change.name] = &change;
        }
    }
    return objects;
}

void PlatformStore::list(const Connection& connection, const std::string& kind,
                         const Query& query) {
    const bool is_stale = query.count("allow_stale") > 0;
    const History& history = history_for(is_stale);
    const std::size_t changes = visible_changes(history, is_stale);
    const std::map<std::string, const Change*> objects = objects_of(history, kind, changes);
    const auto after = query.find("after");
    auto next = after == query.end() ? objects.begin() : objects.upper_bound(after->second);
    Json items = Json::array();
    for (; next != objects.end() && items.size() < PAGE_SIZE; ++next) {
        items.push_back(object_json(next->first, next->second->revision, next->second->spec));
    }
    const std::int64_t revision = changes == 0 ? 1 : history.changes[changes - 1].revision;
    respond_as_of(
        connection, ebonymount::http::OK,
        {{"items", items}, {"has_more", next != objects.end()}, {"store_revision", revision}},
        history.era);
}

void PlatformStore::watch(const Connection& connection, const std::string& address,
                          const std::string& kind, const Query& query) {
    const Watch waiting{connection,
                        address,
                        kind,
                        std::stoll(query.at("watch")),
                        query.count("allow_stale") > 0,
                        monotonic_now() + from_ms(std::stoll(query.at("wait_ms")))};
    if (!try_respond(waiting)) {
        m_watches.push_back(waiting);
    }
}

bool PlatformStore::try_respond(const Watch& watch) {
    const History& history = history_for(watch.stale);
    if (watch.after < m_oldest_revision || watch.after > history.revision) {
        respond_as_of(watch.connection, ebonymount::http::GONE, Json::object(), history.era);
        return true;
    }
    Json events = Json::array();
    const std::size_t changes = visible_changes(history, watch.stale);
    const auto first = std::upper_bound(
        history.changes.begin(), history.changes.end(), watch.after,
        [](std::int64_t revision, const Change& change) { return revision < change.revision; });
    for (std::size_t i = static_cast<std::size_t>(first - history.changes.begin()); i < changes;
         ++i) {
        const Change& change = history.changes[i];
        if (change.kind == watch.kind) {
            events.push_back({{"deleted", change.removed},
                              {"object", object_json(change.name, change.revision, change.spec)}});
        }
    }
    if (events.empty() && monotonic_now() < watch.until) {
        return false;
    }
    const std::int64_t revision =
        changes == 0 ? watch.after : history.changes[changes - 1].revision;
    respond_as_of(watch.connection, ebonymount::http::OK,
                  {{"events", events}, {"store_revision", std::max(watch.after, revision)}},
                  history.era);
    return true;
}

void PlatformStore::respond_to_watches() {
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const Outage outage = m_faults.outage != Outage::none
                                  ? m_faults.outage
                                  : kind_outage(watch->address, watch->kind);
        if (outage == Outage::silent) {
            ++watch;
            continue;
        }
        const bool disconnect = outage != Outage::none;
        if (disconnect) {
            watch->connection->drop();
        }
        watch = disconnect || try_respond(*watch) ? m_watches.erase(watch) : std::next(watch);
    }
}

void PlatformStore::write(const Connection& connection, const std::string& method,
                          const std::string& kind, const std::string& name, const Json& spec) {
    const std::map<std::string, const Change*> objects =
        objects_of(m_history, kind, m_history.changes.size());
    const bool exists = objects.count(name) > 0;
    int status = ebonymount::http::OK;
    if (method == "POST" && exists) {
        status = ebonymount::http::CONFLICT;
    } else if (method == "DELETE" && !exists) {
        status = ebonymount::http::NOT_FOUND;
    } else if (method == "DELETE") {
        remove(kind, name);
    } else {
        put(kind, name, spec);
    }
    if (ebonymount::uniform(m_random) < m_faults.lost_response_share) {
        connection->drop();
        return;
    }
    respond(connection, status, object_json(name, m_history.revision, spec));
}

void PlatformStore::respond(const Connection& connection, int status, const Json& body) {
    respond_as_of(connection, status, body, m_history.era);
}

void PlatformStore::respond_as_of(const Connection& connection, int status, const Json& body,
                                  std::int64_t era) {
    HttpResponseMessage response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    if (m_has_era_header) {
        response.headers.push_back(
            {ebonymount::platform::names::STORE_ERA, m_era_text.value_or(std::to_string(era))});
    }
    response.body = body.dump();
    connection->respond(std::move(response));
}

void PlatformStore::poll_watches() {
    respond_to_watches();
    m_loop.run_at(monotonic_now() + WATCH_CHECK_INTERVAL, [this] { poll_watches(); });
}

}  // namespace standin
