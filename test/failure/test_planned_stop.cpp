// A node that is told to stop, while callers go on opening connections to it.
//
// Promise: each request that the node has read and passed on to a target gets a whole response.
#include <catch2/catch.hpp>

#include <map>

#include "front_fleet.h"

namespace ebonymount {
namespace {

constexpr std::size_t TARGETS = 3;
constexpr Duration SEND_INTERVAL = from_ms(10);

/// Sends a request on a new connection at each interval, until `stop`.
class Callers {
public:
    explicit Callers(FrontFleet& fleet) : m_fleet(fleet) {}

    void send() {
        if (m_stopped) {
            return;
        }
        const std::string path = "/book/" + std::to_string(m_statuses.size());
        m_statuses[path] = NO_END;
        m_fleet.send(0, path, [this, path](int status, const std::string& /*retry_after*/) {
            m_statuses[path] = status;
        });
        m_fleet.run_after(SEND_INTERVAL, [this] { send(); });
    }

    void stop() {
        m_stopped = true;
    }

    /// Requests that reached a target and have no response.
    std::size_t cut_after_arrival() const {
        std::size_t cut = 0;
        for (const FleetArrival& arrival : m_fleet.arrivals()) {
            cut += m_statuses.at(arrival.path) <= 0 ? 1 : 0;
        }
        return cut;
    }

    std::size_t with_status(int status) const {
        return static_cast<std::size_t>(
            std::count_if(m_statuses.begin(), m_statuses.end(),
                          [status](const auto& entry) { return entry.second == status; }));
    }

private:
    static constexpr int NO_END = -1;

    FrontFleet& m_fleet;
    bool m_stopped = false;
    std::map<std::string, int> m_statuses;
};

/// Targets that take longer than the grace period of the node.
constexpr Duration BEYOND_GRACE = from_ms(20000);

}  // namespace

// Guards against review case 5: a stopping node accepted connections until it exited, and cut the
// requests that it had just passed on.
TEST_CASE("a stopping node answers each request that it has passed on, under steady connections") {
    FrontFleet fleet(1);
    fleet.set_service_time(from_ms(60));
    fleet.add_targets("booking", TARGETS);
    fleet.start({{"book", {"booking"}}});
    Callers callers(fleet);
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); },
                              [&] {
                                  callers.send();
                              }},
                             {[&] { return callers.with_status(200) > 20; },
                              [&] {
                                  fleet.stop_node(0);
                              }},
                             {[&] { return fleet.has_stopped(0); },
                              [&] {
                                  callers.stop();
                              }},
                             {[&] { return callers.with_status(-1) == 0; },
                              [] {
                              }}}));
    CHECK(callers.cut_after_arrival() == 0);
}

// Guards against the same on a related path: a request that outlasts the grace period was cut, so
// the caller did not learn whether it may have run.
TEST_CASE("a stopping node answers requests that outlast its grace period before it exits") {
    FrontFleet fleet(1);
    fleet.set_route_timeout(BEYOND_GRACE);
    fleet.set_service_time(BEYOND_GRACE);
    fleet.add_targets("booking", TARGETS);
    fleet.start({{"book", {"booking"}, false, false, 1}});
    Callers callers(fleet);
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); },
                              [&] {
                                  callers.send();
                              }},
                             {[&] { return !fleet.arrivals().empty(); },
                              [&] {
                                  callers.stop();
                                  fleet.stop_node(0);
                              }},
                             {[&] { return fleet.has_stopped(0) && callers.with_status(-1) == 0; },
                              [] {
                              }}}));
    CHECK(callers.cut_after_arrival() == 0);
    CHECK(callers.with_status(504) > 0);
}

}  // namespace ebonymount
