// What targets say of themselves, at a fleet of nodes on loopback sockets: limits under more load
// than that, leaving, and turning nodes away.
//
// Bound of the platform for limits: from the stable window after a target first named its limit, it
// gets in any 4 s at most one and a half times what the limit allows, and 5 requests, from all
// nodes together.
#include <catch2/catch.hpp>

#include "front_fleet.h"

namespace ebonymount {
namespace {

constexpr std::size_t NODES = 6;
constexpr std::size_t TARGETS = 3;
constexpr Duration WINDOW = from_ms(4000);
constexpr Duration LOAD_TIME = from_ms(6000);
constexpr Duration SEND_INTERVAL = from_ms(5);
const Duration STABLE_WINDOW = platform::Settings{}.stable_window;

std::size_t allowed_requests(double limit) {
    return static_cast<std::size_t>(1.5 * limit * 4.0) + 5;
}

/// Sends a request to one node after the other at a fixed rate.
class Load {
public:
    explicit Load(FrontFleet& fleet) : m_fleet(fleet) {}

    void begin() {
        m_counted_from = monotonic_now() + STABLE_WINDOW;
        send();
    }

    bool is_done() const {
        return m_counted_from != Time{} && monotonic_now() >= m_counted_from + LOAD_TIME;
    }

    Time counted_from() const {
        return m_counted_from;
    }

private:
    void send() {
        if (is_done()) {
            return;
        }
        m_fleet.send(m_sent % NODES, "/book/" + std::to_string(m_sent),
                     [](int /*status*/, const std::string& /*retry_after*/) {});
        ++m_sent;
        m_fleet.run_after(SEND_INTERVAL, [this] { send(); });
    }

    FrontFleet& m_fleet;
    std::size_t m_sent = 0;
    Time m_counted_from{};
};

/// The most requests that a target with that limit got in 4 s.
std::size_t most_requests(const std::string& limit) {
    FrontFleet fleet(NODES);
    fleet.add_targets("booking", TARGETS);
    standin::TargetBehaviour behaviour;
    behaviour.limit = limit;
    fleet.set_behaviour(behaviour);
    fleet.start({{"book", {"booking"}}});
    Load load(fleet);
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); },
                              [&] {
                                  load.begin();
                              }},
                             {[&] { return load.is_done(); },
                              [] {
                              }}}));
    return fleet.max_arrivals(WINDOW, load.counted_from());
}

}  // namespace

// Guards against the incident "capped targets": nothing read the limit that a target named.
TEST_CASE("all nodes together keep the limit that a target names") {
    CHECK(most_requests("20.0") <= allowed_requests(20.0));
}

// Guards against the incident "capped targets": equal shares of a small limit are less than one
// request in the window, and must not be rounded up at each node.
TEST_CASE("all nodes together keep a limit of one request a second") {
    CHECK(most_requests("1.0") <= allowed_requests(1.0));
}

// Guards against new requests at a target that says in its responses that it is leaving, while the
// store still lists it as ready.
TEST_CASE("each node sends a target that is leaving one request at most") {
    FrontFleet fleet(NODES);
    fleet.add_targets("booking", TARGETS);
    standin::TargetBehaviour behaviour;
    behaviour.leaving = true;
    fleet.set_behaviour("booking-0", behaviour);
    fleet.start({{"book", {"booking"}}});
    std::size_t ended = 0;
    std::size_t served = 0;
    constexpr std::size_t REQUESTS = 120;
    const std::function<void()> send = [&] {
        fleet.send(ended % NODES, "/book/x", [&](int status, const std::string&) {
            served += status == 200 ? 1 : 0;
            if (++ended < REQUESTS) {
                send();
            }
        });
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, send},
                             {[&] { return ended == REQUESTS; },
                              [] {
                              }}}));
    CHECK(served == REQUESTS);
    CHECK(fleet.arrivals_at("booking-0") <= NODES);
    CHECK(fleet.arrivals_at("booking-1") + fleet.arrivals_at("booking-2") >= REQUESTS - NODES);
}

// Guards against requests at a target that has turned the node away with 503 and Retry-After. Bound
// of the platform: at most two from each node between half a second later and the end of that time.
TEST_CASE("nodes that a target turned away leave it alone, and callers are told when to return") {
    FrontFleet fleet(NODES);
    fleet.add_targets("booking", TARGETS);
    standin::TargetBehaviour behaviour;
    behaviour.refused_share = 1.0;
    behaviour.retry_after = "30";
    fleet.set_behaviour(behaviour);
    fleet.start({{"book", {"booking"}}});
    std::size_t ended = 0;
    std::size_t refused = 0;
    constexpr std::size_t REQUESTS = 120;
    const std::function<void()> send = [&] {
        fleet.send(ended % NODES, "/book/x", [&](int status, const std::string& retry_after) {
            refused += status == 503 && !retry_after.empty() ? 1 : 0;
            if (++ended < REQUESTS) {
                send();
            }
        });
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, send},
                             {[&] { return ended == REQUESTS; },
                              [] {
                              }}}));
    CHECK(refused == REQUESTS);
    CHECK(fleet.arrivals().size() <= NODES * TARGETS);
}

}  // namespace ebonymount
