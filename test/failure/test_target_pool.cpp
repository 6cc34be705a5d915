// Connections to targets, with a target that the test plays on the same event loop.
#include <catch2/catch.hpp>

#include "front/target_pool.h"
#include "loopback.h"
#include "raw_peer.h"

namespace ebonymount {
namespace {

constexpr const char* SERVED_PATH = "/served";
constexpr const char* HELD_PATH = "/held";

/// A pool with one target that serves calls to one path and holds those to the other.
struct PooledTarget {
    PooledTarget() {
        server->on_peer = [this](RawPeer& peer) {
            peer.on_bytes = [this, &peer] {
                on_bytes(peer);
            };
        };
        server->watch();
        TargetState& state = targets.states[index_of(targets, "target")];
        state.entry.address = server->address();
        state.accepts_work = true;
        state.max_connections = 100;
    }

    void on_bytes(RawPeer& peer) {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const bool is_held = peer.received.find(HELD_PATH) != std::string::npos;
        peer.received.clear();
        if (is_held) {
            ++held;
        } else {
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    /// Calls end with `on_end`, and as `aborted` if the pool sweeps later than `deadline`.
    void call(const std::string& path, Time deadline, std::function<void(CallStatus)> on_end) {
        PoolCall call;
        call.target = 0;
        call.deadline = deadline;
        call.call.make_request = [path] {
            return encode(HttpRequestMessage{"GET", path, {{"Host", "h"}}, "", true});
        };
        call.call.on_sent = [] {
        };
        call.call.on_end = [on_end = std::move(on_end)](CallStatus status,
                                                        const HttpResponseMessage& /*response*/) {
            on_end(status);
        };
        pool.start(std::move(call));
    }

    /// Calls the path, and counts the calls that are answered.
    void call_served() {
        call(SERVED_PATH, Time::max(), [this](CallStatus status) {
            ++ended;
            answered += status == CallStatus::answered ? 1 : 0;
        });
    }

    /// Runs the steps in turn, each once its condition holds.
    void run_steps(std::vector<TestStep> all) {
        steps = std::move(all);
        check_steps();
        harness.loop.run();
        REQUIRE_FALSE(harness.hung);
    }

    void check_steps() {
        if (advance_steps(steps)) {
            harness.loop.stop();
        }
        harness.loop.run_at(monotonic_now() + from_ms(1), [this] { check_steps(); });
    }

    Harness harness;
    std::shared_ptr<RawServer> server = std::make_shared<RawServer>(harness.loop);
    TargetTable targets;
    TargetPool pool{harness.loop, targets};
    std::size_t held = 0;
    std::size_t ended = 0;
    std::size_t answered = 0;
    std::vector<TestStep> steps;
};

}  // namespace

// Guards against a retry that ends at once because the sweep closes the idle connection that the
// retry has just taken.
TEST_CASE("a sweep closes no connection that a call has taken meanwhile") {
    PooledTarget target;
    const Time now = monotonic_now();
    for (int i = 0; i < 4; ++i) {
        target.call_served();
    }
    target.run_steps({{[&] { return target.answered == 4; },
                       [&] {
                           REQUIRE(target.pool.connections() == 4);
                           for (int i = 0; i < 2; ++i) {
                               target.call(HELD_PATH, now + from_ms(1000), [&](CallStatus status) {
                                   CHECK(status == CallStatus::aborted);
                                   target.call_served();
                               });
                           }
                       }},
                      {[&] { return target.held == 2; },
                       [&] {
                           // Two calls are overdue, and one of the two idle connections is spare.
                           target.pool.sweep(monotonic_now() + from_ms(2000));
                       }},
                      {[&] { return target.ended == 6; },
                       [] {
                       }}});
    CHECK(target.answered == 6);
}

}  // namespace ebonymount
