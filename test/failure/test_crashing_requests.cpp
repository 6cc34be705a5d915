// Requests that crash each target that runs them, at a fleet on loopback sockets.
//
// Callers send such a request again, to any node. Bound of the platform: later than the stable
// window after the third crash, at most three further requests of the caller may reach targets.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

#include "front_fleet.h"
#include "platform/names.h"
#include "policy/quarantine_trial.h"

namespace ebonymount {
namespace {

constexpr std::size_t CRASHES = 3;
constexpr std::size_t MAX_REQUESTS_AFTER = 3;
constexpr std::size_t RETRIES_AFTER = 18;
const Duration STABLE_WINDOW = platform::Settings{}.stable_window;
const std::string CRASHING = "/book/crash";

/// Sends a crashing request to one node after the other: until three targets have crashed, and
/// a number of times more once the store has been sound for the stable window.
class CrashingCaller {
public:
    CrashingCaller(FrontFleet& fleet, std::size_t nodes, std::size_t retries = RETRIES_AFTER)
        : m_fleet(fleet), m_nodes(nodes), m_max_retries(retries) {}

    /// Faults of the store from the end of the stable window on, for that many retries.
    void set_late_faults(const standin::PlatformFaults& faults, std::size_t retries) {
        m_late_faults = faults;
        m_faulty_retries = retries;
    }

    void begin() {
        send();
    }

    bool is_done() const {
        return m_retries == m_max_retries;
    }

    /// Requests that reached targets later than the stable window after the third crash.
    std::size_t requests_after_window() const {
        return m_fleet.requests_reaching_targets(CRASHING, m_window_end);
    }

private:
    void send() {
        m_fleet.send(m_node++ % m_nodes, CRASHING,
                     [this](int /*status*/, const std::string& /*retry_after*/) { on_end(); });
    }

    void on_end() {
        if (m_window_end != Time::max()) {
            ++m_retries;
            if (m_retries == m_faulty_retries) {
                m_fleet.store().set_faults({});
            }
        } else if (m_fleet.crashed() >= CRASHES) {
            m_fleet.store().set_faults({});
            m_window_end = monotonic_now() + STABLE_WINDOW;
            m_fleet.run_after(STABLE_WINDOW, [this] {
                m_fleet.store().set_faults(m_late_faults);
                send();
            });
            return;
        }
        if (!is_done()) {
            m_fleet.run_after(from_ms(50), [this] { send(); });
        }
    }

    FrontFleet& m_fleet;
    std::size_t m_nodes;
    std::size_t m_node = 0;
    std::size_t m_max_retries;
    std::size_t m_retries = 0;
    standin::PlatformFaults m_late_faults;
    std::size_t m_faulty_retries = 0;
    Time m_window_end = Time::max();
};

/// Requests that reached targets too late, if the store has that outage until the third crash.
std::size_t requests_after_third_crash(FrontFleet& fleet, std::size_t nodes, standin::Outage outage,
                                       std::size_t retries = RETRIES_AFTER) {
    standin::TargetBehaviour behaviour;
    behaviour.crashing_path = CRASHING;
    fleet.set_behaviour(behaviour);
    CrashingCaller caller(fleet, nodes, retries);
    const auto begin = [&] {
        standin::PlatformFaults faults;
        faults.outage = outage;
        fleet.store().set_faults(faults);
        caller.begin();
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, begin},
                             {[&] { return caller.is_done(); },
                              [] {
                              }}}));
    return caller.requests_after_window();
}

/// Retries that reach targets after the third crash, if the store has that outage from the end of
/// the stable window on, for `faulty_retries` of `retries`.
std::size_t trials_in_outage(FrontFleet& fleet, std::size_t nodes, standin::Outage outage,
                             std::size_t faulty_retries, std::size_t retries) {
    standin::TargetBehaviour behaviour;
    behaviour.crashing_path = CRASHING;
    fleet.set_behaviour(behaviour);
    CrashingCaller caller(fleet, nodes, retries);
    standin::PlatformFaults faults;
    faults.outage = outage;
    caller.set_late_faults(faults, faulty_retries);
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); },
                              [&caller] {
                                  caller.begin();
                              }},
                             {[&] { return caller.is_done(); },
                              [] {
                              }}}));
    return caller.requests_after_window();
}

}  // namespace

// Guards against the incident "retries of crashing requests": a crash counted only if the same node
// happened to connect to the same target again within two seconds.
TEST_CASE("a request that crashed three targets of a service reaches at most three more times") {
    FrontFleet fleet(3);
    fleet.add_targets("booking", 45);
    fleet.start({{"book", {"booking"}}});
    CHECK(requests_after_third_crash(fleet, 3, standin::Outage::none) <= MAX_REQUESTS_AFTER);
}

// Guards against the incident "retries of crashing requests": a crash report that the store did not
// take was not sent again, so each other node learned of the request by crashes of its own.
TEST_CASE("nodes learn of crashes that were reported while the store was unavailable") {
    FrontFleet fleet(6);
    fleet.add_targets("booking", 45);
    fleet.start({{"book", {"booking"}}});
    CHECK(requests_after_third_crash(fleet, 6, standin::Outage::busy) <= MAX_REQUESTS_AFTER);
}

// Guards against the incident "retries of crashing requests": a running fan-out went on with
// retries at the second replicas although three of its targets had crashed.
TEST_CASE("a fan-out that crashes its targets is not retried at their replicas") {
    constexpr std::size_t SHARDS = 10;
    FrontFleet fleet(1);
    std::vector<std::string> shards;
    for (std::size_t i = 0; i < SHARDS; ++i) {
        shards.push_back("shard" + std::to_string(i));
        fleet.add_targets(shards.back(), 3);
    }
    fleet.start({{"book", shards, true}});
    standin::TargetBehaviour behaviour;
    behaviour.crashing_path = CRASHING;
    fleet.set_behaviour(behaviour);
    bool ended = false;
    const auto send = [&] {
        fleet.send(0, CRASHING, [&ended](int, const std::string&) { ended = true; });
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, send},
                             {[&] { return ended; },
                              [] {
                              }}}));
    // The first part of each shard, and the retries of the two that broke first.
    CHECK(fleet.crashed() <= SHARDS + CRASHES - 1);
}

// Guards against trials that let a request that does crash its targets reach more of them than the
// platform allows. The retries take longer than all trials that are made.
TEST_CASE("the trials of a request that crashes its targets keep the bound") {
    constexpr std::size_t RETRIES = 400;
    FrontFleet fleet(3);
    fleet.add_targets("booking", 45);
    fleet.start({{"book", {"booking"}}});
    const std::size_t after = requests_after_third_crash(fleet, 3, standin::Outage::none, RETRIES);
    CHECK(after >= 1);
    CHECK(after <= MAX_REQUESTS_AFTER);
}

// Guards against review case 4: a common request that ran when all targets of its service crashed
// was refused for ten minutes, at all nodes, although the targets were back and sound.
TEST_CASE("a common request is served again after all targets that ran it have crashed") {
    constexpr std::size_t NODES = 3;
    constexpr std::size_t SERVED = 100;
    const std::string common = "/book/start";
    FrontFleet fleet(NODES);
    fleet.set_service_time(from_ms(40));
    fleet.add_targets("booking", 6);
    fleet.start({{"book", {"booking"}}});
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    const std::function<void()> send = [&] {
        fleet.send(sent++ % NODES, common, [&](int status, const std::string&) {
            served += status == 200 ? 1 : 0;
            refused += status == 503 ? 1 : 0;
        });
        fleet.run_after(from_ms(10), send);
    };
    const auto crash = [&] {
        fleet.crash_targets();
        refused = 0;
    };
    const auto restart = [&] {
        fleet.restart_targets();
        served = 0;
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, send},
                             {[&] { return served >= SERVED; }, crash},
                             {[&] { return refused >= SERVED; }, restart},
                             {[&] { return served >= SERVED; },
                              [] {
                              }}}));
}

// Guards against crash reports that the store has lost by its return from an older copy and that
// nobody writes again: machines that are added know nothing of the request (review case 13). The
// node that wrote them may be gone.
TEST_CASE("crash reports that the store has lost are written again, by their writer or another") {
    for (const bool is_writer_gone : {false, true}) {
        CAPTURE(is_writer_gone);
        constexpr std::size_t NODES = 3;
        FrontFleet fleet(NODES);
        fleet.add_targets("booking", 9);
        fleet.start({{"book", {"booking"}}});
        standin::TargetBehaviour behaviour;
        behaviour.crashing_path = CRASHING;
        fleet.set_behaviour(behaviour);
        const auto reports = [&fleet] {
            std::set<std::string> names = fleet.store().names(platform::names::QUARANTINE_KIND);
            std::erase_if(names, [](const std::string& name) {
                return !parse_crash_report(name).has_value();
            });
            return names;
        };
        std::set<std::string> before;
        std::set<std::size_t> refusing;
        const std::function<void(std::size_t)> send = [&](std::size_t node) {
            fleet.send(node, CRASHING, [&, node](int status, const std::string&) {
                if (status == 503) {
                    refusing.insert(node);
                }
                if (refusing.count(node) == 0) {
                    fleet.run_after(from_ms(50), [&send, node] { send(node); });
                }
            });
        };
        const auto has_all_again = [&] {
            const std::set<std::string> now = reports();
            return std::includes(now.begin(), now.end(), before.begin(), before.end());
        };
        const auto begin = [&] {
            fleet.store().take_copy();
            send(0);
        };
        const auto ask_others = [&] {
            before = reports();
            for (std::size_t node = 1; node < NODES; ++node) {
                send(node);
            }
        };
        const auto lose_reports = [&] {
            before = reports();
            if (is_writer_gone) {
                fleet.stop_node(0);
            }
        };
        const auto go_back = [&] {
            fleet.store().return_from_copy();
            CHECK(reports().empty());
        };
        CHECK(fleet.run_steps(
            {{[&] { return fleet.is_ready(); }, begin},
             {[&] { return refusing.count(0) > 0 && reports().size() >= CRASHES; }, ask_others},
             {[&] { return refusing.size() == NODES; }, lose_reports},
             {[&] { return !is_writer_gone || fleet.has_stopped(0); }, go_back},
             {has_all_again, nullptr}}));
        CHECK(before.size() >= CRASHES);
        CHECK(has_all_again());
    }
}

// Guards against a trial that is made a second time, by another node, because the store has lost
// the claim of its number and the owner does not write it again.
TEST_CASE("the claim of a trial that was made is written again after the store has lost it") {
    FrontFleet fleet(1);
    fleet.add_targets("booking", 9);
    fleet.start({{"book", {"booking"}}});
    standin::TargetBehaviour behaviour;
    behaviour.crashing_path = CRASHING;
    fleet.set_behaviour(behaviour);
    const auto claims = [&fleet] {
        std::set<std::string> names = fleet.store().names(platform::names::QUARANTINE_KIND);
        std::erase_if(names,
                      [](const std::string& name) { return !parse_trial_claim(name).has_value(); });
        return names;
    };
    std::size_t crashed_before_trial = 0;
    const std::function<void()> send = [&] {
        fleet.send(0, CRASHING,
                   [&](int, const std::string&) { fleet.run_after(from_ms(50), send); });
        if (claims().empty()) {
            crashed_before_trial = fleet.crashed();
        }
    };
    std::set<std::string> lost;
    const auto begin = [&] {
        fleet.store().take_copy();
        send();
    };
    const auto go_back = [&] {
        lost = claims();
        fleet.store().return_from_copy();
        CHECK(claims().empty());
    };
    const auto has_claims_again = [&] {
        const std::set<std::string> now = claims();
        return std::includes(now.begin(), now.end(), lost.begin(), lost.end());
    };
    CHECK(fleet.run_steps(
        {{[&] { return fleet.is_ready(); }, begin},
         {[&] { return !claims().empty() && fleet.crashed() > crashed_before_trial; }, go_back},
         {has_claims_again, nullptr}}));
    CHECK_FALSE(lost.empty());
    CHECK(has_claims_again());
}

// Guards against review case 9: a common request was refused by all nodes for as long as the store
// was unavailable, although the targets were back and sound. Not all nodes vote on the trial, so
// some learn of its answer from others; in the second run one node is gone.
TEST_CASE("a common request is served again while the store is unavailable") {
    constexpr std::size_t NODES = 9;
    constexpr std::size_t SERVED = 20;
    static_assert(NODES > MAX_VOTERS);
    const std::size_t stopped = GENERATE(std::size_t{0}, std::size_t{1});
    const std::string common = "/book/start";
    FrontFleet fleet(NODES);
    fleet.set_service_time(from_ms(40));
    fleet.add_targets("booking", 6);
    fleet.start({{"book", {"booking"}}});
    std::size_t running = NODES;
    std::size_t sent = 0;
    std::array<std::size_t, NODES> served{};
    std::array<std::size_t, NODES> refused{};
    const std::function<void()> send = [&] {
        const std::size_t node = sent++ % running;
        fleet.send(node, common, [&, node](int status, const std::string&) {
            served.at(node) += status == 200 ? 1 : 0;
            refused.at(node) += status == 503 ? 1 : 0;
        });
        fleet.run_after(from_ms(10), send);
    };
    const auto all_have = [&running](const std::array<std::size_t, NODES>& counts) {
        return std::all_of(counts.begin(), counts.begin() + static_cast<std::ptrdiff_t>(running),
                           [](std::size_t count) { return count >= SERVED; });
    };
    const auto crash = [&] {
        fleet.crash_targets();
        refused.fill(0);
    };
    const auto restart = [&] {
        standin::PlatformFaults faults;
        faults.outage = standin::Outage::busy;
        fleet.store().set_faults(faults);
        fleet.restart_targets();
        running -= stopped;
        for (std::size_t node = running; node < NODES; ++node) {
            fleet.stop_node(node);
        }
        served.fill(0);
    };
    REQUIRE(fleet.run_steps({{[&] { return fleet.is_ready(); }, send},
                             {[&] { return all_have(served); }, crash},
                             {[&] { return all_have(refused); }, restart},
                             {[&] { return all_have(served); },
                              [] {
                              }}}));
}

// Guards against trials without the store that let a request that does crash its targets reach more
// of them than it would with the store.
TEST_CASE("a request that crashes its targets gets no more trials while the store is unavailable") {
    constexpr std::size_t NODES = 6;
    constexpr std::size_t RETRIES = 300;
    FrontFleet fleet(NODES);
    fleet.add_targets("booking", 45);
    fleet.start({{"book", {"booking"}}});
    const standin::Outage outage = GENERATE(standin::Outage::busy, standin::Outage::silent);
    const std::size_t trials = trials_in_outage(fleet, NODES, outage, RETRIES, RETRIES);
    CHECK(trials >= 1);
    CHECK(trials <= static_cast<std::size_t>(MAX_TRIALS));
}

// Guards against a trial without the store that other nodes do not count once the store is back.
TEST_CASE("a trial made while the store was unavailable counts once the store is back") {
    constexpr std::size_t NODES = 6;
    constexpr std::size_t RETRIES = 400;
    constexpr std::size_t FAULTY_RETRIES = 100;
    FrontFleet fleet(NODES);
    fleet.add_targets("booking", 45);
    fleet.start({{"book", {"booking"}}});
    const std::size_t trials =
        trials_in_outage(fleet, NODES, standin::Outage::busy, FAULTY_RETRIES, RETRIES);
    CHECK(trials >= 1);
    CHECK(trials <= static_cast<std::size_t>(MAX_TRIALS));
}

}  // namespace ebonymount
