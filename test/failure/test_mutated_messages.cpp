// Malformed, oversized and broken messages of targets and callers at a node with real sockets,
// drawn by a fixed seed. An exception that a guard has to catch fails the test.
#include <array>
#include <catch2/catch.hpp>
#include <numeric>
#include <set>
#include <vector>

#include "front_fleet.h"
#include "io/http_status.h"
#include "mutation.h"
#include "platform/names.h"
#include "raw_peer.h"

namespace ebonymount {
namespace {

namespace names = platform::names;

constexpr std::uint64_t SEED = 20261207;
constexpr std::size_t REQUESTS = 600;
constexpr std::size_t AT_ONCE = 12;
/// Ways in which a reply is malformed.
constexpr std::size_t KINDS = 9;
constexpr std::array<const char*, 12> FIELDS = {
    names::REQUEST_ID,  names::SIGNATURE, names::NOT_EXECUTED, names::INSTANCE_ID,
    names::LOAD,        names::COLD,      names::RATE_LIMIT,   names::LEAVING,
    names::RETRY_AFTER, "Content-Length", "Transfer-Encoding", "Field"};
/// Lengths around the limits on signatures, on heads, and of 16-bit lengths.
constexpr std::array<std::size_t, 9> LENGTHS = {0,     1,     1024,  1025, 16384,
                                                65390, 65533, 65536, 70000};

template <typename Values>
const typename Values::value_type& any_of(const Values& values, Random& random) {
    return values.at(random() % values.size());
}

/// What one target sends in response to one request.
struct Reply {
    std::string bytes;
    bool closes = false;
    /// Which of the `KINDS` ways of being malformed, or `KINDS` for a sound reply.
    std::size_t kind = KINDS;
};

HttpResponseMessage sound_response(const std::string& request_id) {
    HttpResponseMessage response;
    response.status = http::OK;
    response.headers = {{names::REQUEST_ID, request_id},
                        {names::SIGNATURE, std::string(64, 's')},
                        {names::LOAD, "0.25"}};
    response.body = "0123456789abcdef00112233445566ff";
    return response;
}

void replace_header(HttpResponseMessage& response, HttpHeader header) {
    std::erase_if(response.headers,
                  [&header](const HttpHeader& other) { return other.name == header.name; });
    response.headers.push_back(std::move(header));
}

/// The malformed reply of that kind.
Reply malformed_reply(const std::string& request_id, std::size_t kind, Random& random) {
    HttpResponseMessage response = sound_response(request_id);
    const std::string sound = encode(response, false);
    switch (kind) {
        case 0:
            return {mutate(sound, random), false, kind};
        case 1:
            return {mutate(sound, random), true, kind};
        case 2:
            return {sound.substr(0, random() % sound.size()), true, kind};
        case 3:
            replace_header(response,
                           {any_of(FIELDS, random), std::string(any_of(LENGTHS, random), 's')});
            return {encode(response, false), false, kind};
        case 4:
            response.headers.push_back({std::string(1 + any_of(LENGTHS, random), 'n'), "value"});
            return {encode(response, false), false, kind};
        case 5:
            return {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" +
                        std::string(names::REQUEST_ID) + ": " + request_id +
                        "\r\n\r\n2\r\nab\r\n0\r\n" + any_of(FIELDS, random) + ": " +
                        std::string(any_of(LENGTHS, random), 't') + "\r\n\r\n",
                    false, kind};
        case 6:
            response.body = std::string(any_of(LENGTHS, random), '[');
            return {encode(response, false), false, kind};
        case 7: {
            // The longest one just fits the head of a response, and no merged field of many.
            constexpr std::array<std::size_t, 3> SIGNATURES = {1025, 16384, 65390};
            replace_header(response,
                           {names::SIGNATURE, std::string(any_of(SIGNATURES, random), 's')});
            return {encode(response, false), false, kind};
        }
        default:
            // Without one of its fields, and twice.
            response.headers.erase(response.headers.begin() + static_cast<int>(random() % 2));
            return {encode(response, false) + encode(response, false), false, kind};
    }
}

/// The reply of a target: malformed one time in four.
Reply draw_reply(const std::string& request_id, Random& random) {
    if (random() % 4 > 0) {
        return {encode(sound_response(request_id), false)};
    }
    return malformed_reply(request_id, random() % KINDS, random);
}

/// A target that sends drawn replies until `is_sound` is set. A reply depends on the target and on
/// the request's id, not on the order of arrivals.
class MutatingTarget {
public:
    MutatingTarget(EventLoop& loop, std::uint64_t seed)
        : m_seed(seed), m_server(std::make_shared<RawServer>(loop)) {
        m_server->on_peer = [this](RawPeer& peer) {
            const std::shared_ptr<HttpRequestReader> reader =
                std::make_shared<HttpRequestReader>(HttpLimits{});
            peer.on_bytes = [this, &peer, reader] {
                while (!peer.ended && reader->consume(peer.received) == ReadState::complete) {
                    reply(peer, reader->take());
                }
            };
        };
        m_server->watch();
    }

    std::string address() const {
        return m_server->address();
    }

    bool is_sound = false;
    /// The kinds of replies that were sent.
    std::set<std::size_t> kinds;

private:
    void reply(RawPeer& peer, const HttpRequestMessage& request) {
        const std::string id(find_header(request.headers, names::REQUEST_ID));
        Random random(
            std::accumulate(id.begin(), id.end(), m_seed, [](std::uint64_t sum, char next) {
                return sum * 31 + static_cast<unsigned char>(next);
            }));
        const Reply reply =
            is_sound ? Reply{encode(sound_response(id), false)} : draw_reply(id, random);
        kinds.insert(reply.kind);
        peer.send(reply.bytes);
        if (reply.closes) {
            peer.ended = true;
            peer.close();
        }
    }

    std::uint64_t m_seed;
    std::shared_ptr<RawServer> m_server;
};

/// A node with a service and a fan-out over shards, whose targets all send drawn replies.
struct MutatedFleet {
    MutatedFleet() {
        FleetRoute all{"all", {}};
        all.fan_out = true;
        for (std::size_t service = 0; service < SERVICES; ++service) {
            const std::string name = "s" + std::to_string(service);
            all.services.push_back(name);
            for (std::size_t replica = 0; replica < REPLICAS; ++replica) {
                targets.push_back(
                    std::make_unique<MutatingTarget>(fleet.loop(), SEED + targets.size()));
                fleet.register_target(name, name + "-" + std::to_string(replica),
                                      targets.back()->address());
            }
        }
        fleet.set_route_timeout(from_ms(400));
        fleet.start({all, {"one", {"s0"}}});
    }

    void make_sound() {
        for (const std::unique_ptr<MutatingTarget>& target : targets) {
            target->is_sound = true;
        }
    }

    /// Number of kinds of replies that were sent.
    std::size_t kinds() const {
        std::set<std::size_t> all;
        for (const std::unique_ptr<MutatingTarget>& target : targets) {
            all.insert(target->kinds.begin(), target->kinds.end());
        }
        return all.size();
    }

    /// Sends sound requests until one to each route is served.
    void send_until_served(const std::string& name) {
        fleet.send(0, "/" + name + "/1", [this, name](int status, const std::string&) {
            if (status == http::OK) {
                served.insert(name);
            } else {
                fleet.run_after(from_ms(50), [this, name] { send_until_served(name); });
            }
        });
    }

    TestStep all_served() {
        return {[this] { return served.size() == 2; },
                [] {
                }};
    }

    static constexpr std::size_t SERVICES = 4;
    static constexpr std::size_t REPLICAS = 3;

    FrontFleet fleet{1};
    std::vector<std::unique_ptr<MutatingTarget>> targets;
    std::set<std::string> served;
};

/// A sound request, or one with a field or a body of a drawn length.
std::string draw_request(Random& random) {
    HttpRequestMessage request;
    request.method = any_of(std::vector<std::string>{"GET", "POST", "HEAD"}, random);
    request.target = any_of(std::vector<std::string>{"/one/1", "/all/1", "/none"}, random);
    request.headers = {{"Host", "fleet.example"},
                       {names::REQUEST_ID, "m" + std::to_string(random() % 1000)},
                       {names::DEADLINE, "400"}};
    if (random() % 2 == 0) {
        request.headers.push_back(
            {any_of(FIELDS, random), std::string(any_of(LENGTHS, random), 'c')});
    }
    if (request.method == "POST") {
        request.body = std::string(any_of(LENGTHS, random), 'b');
    }
    return encode(request);
}

/// Sends mutated requests, each on a connection of its own that the caller closes for sending.
class MutatingCaller {
public:
    explicit MutatingCaller(FrontFleet& fleet) : m_fleet(fleet) {}

    void send_next() {
        if (m_sent == REQUESTS) {
            return;
        }
        ++m_sent;
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(m_fleet.caller_address(0)));
        const std::string request = draw_request(m_random);
        const std::string bytes = m_random() % 4 == 0 ? request : mutate(request, m_random);
        const std::shared_ptr<RawPeer> peer = std::make_shared<RawPeer>(m_fleet.loop(), socket);
        m_peers.push_back(peer);
        peer->on_bytes = [this, peer = peer.get()] {
            if (peer->ended) {
                on_end(peer->received);
            }
        };
        peer->watch();
        peer->send(bytes);
        socket.shutdownSend();
    }

    /// Number of connections that have ended.
    std::size_t ended = 0;
    /// What was received on those that received something other than HTTP responses.
    std::vector<std::string> not_http;

private:
    void on_end(const std::string& received) {
        ++ended;
        if (!received.empty() && received.rfind("HTTP/1.1 ", 0) != 0) {
            not_http.push_back(received);
        }
        send_next();
    }

    FrontFleet& m_fleet;
    Random m_random{SEED};
    std::size_t m_sent = 0;
    std::vector<std::shared_ptr<RawPeer>> m_peers;
};

}  // namespace

// Guards against a target's malformed reply that ends more than its own call, leaves a request
// without a response, or makes later sound replies unusable.
TEST_CASE("every request gets a response, whatever targets send") {
    MutatedFleet mutated;
    FrontFleet& fleet = mutated.fleet;
    std::size_t sent = 0;
    std::vector<int> statuses;
    const std::function<void()> send_next = [&] {
        if (sent == REQUESTS) {
            return;
        }
        const std::string path = ++sent % 2 == 0 ? "/one/1" : "/all/1";
        fleet.send(0, path, [&](int status, const std::string& /*retry_after*/) {
            statuses.push_back(status);
            // After a refusal later, so that the targets get work again.
            fleet.run_after(status == http::OK ? Duration{} : from_ms(20), send_next);
        });
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); },
                              [&] {
                                  for (std::size_t i = 0; i < AT_ONCE; ++i) {
                                      send_next();
                                  }
                              }},
                             {[&] { return statuses.size() == REQUESTS; },
                              [&] {
                                  mutated.make_sound();
                                  mutated.send_until_served("one");
                                  mutated.send_until_served("all");
                              }},
                             mutated.all_served()}));
    CHECK(mutated.kinds() == KINDS + 1);
    CHECK(std::count(statuses.begin(), statuses.end(), 0) == 0);
}

// Guards against a caller's malformed request that ends more than its own connection, or leaves the
// connection open.
TEST_CASE("every connection of a caller ends, whatever the caller sends") {
    MutatedFleet mutated;
    mutated.make_sound();
    FrontFleet& fleet = mutated.fleet;
    MutatingCaller caller(fleet);
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); },
                              [&] {
                                  for (std::size_t i = 0; i < AT_ONCE; ++i) {
                                      caller.send_next();
                                  }
                              }},
                             {[&] { return caller.ended == REQUESTS; },
                              [&] {
                                  mutated.send_until_served("one");
                                  mutated.send_until_served("all");
                              }},
                             mutated.all_served()}));
    CHECK(caller.not_http.empty());
}

}  // namespace ebonymount
