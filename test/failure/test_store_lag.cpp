// Changes that must be in force soon, at a node that reads the store itself, while what recent
// reads return lags. Watches wait for longer than a test may take, and nothing but the changes
// under test ends them. Each case runs until a condition holds; no check depends on elapsed time.
#include <catch2/catch.hpp>

#include <map>
#include <optional>

#include "front/store_feed.h"
#include "io/event_loop.h"
#include "loopback.h"
#include "platform/names.h"
#include "platform_store.h"

namespace ebonymount {
namespace {

/// Ends a test that hangs.
constexpr Duration HANG_LIMIT = from_ms(20000);

/// Watches of a node without followers wait for more than half of it, which is longer than the
/// limit above.
constexpr Duration STABLE_WINDOW = from_ms(60000);

/// One node without followers and its store, on one event loop.
class LoneNode {
public:
    LoneNode() : m_loop(LoopThread::caller), store(m_loop, "127.0.0.1:0", 1) {
        store.put(platform::names::CONFIG_KIND, platform::names::CONFIG_NAME, {{"version", 1}});
        store.put(platform::names::EVACUATIONS_KIND, "west", nlohmann::json::object());
        store.put(platform::names::QUARANTINE_KIND, "r0", nlohmann::json::object());
        store.put(platform::names::NODES_KIND, "node", {{"data_centre", "east"}});
        for (const char* target : {"leaving", "draining", "staying"}) {
            store.put(platform::names::TARGETS_KIND, target, {{"service", "s"}});
        }
        StoreFeedOptions options;
        options.self = {"node", "east", free_address()};
        options.store_address = store.address();
        options.config_apply = from_ms(500);
        options.drain = from_ms(500);
        options.evacuate = from_ms(800);
        options.stable_window = STABLE_WINDOW;
        m_feed = std::make_unique<StoreFeed>(m_loop, metrics, options,
                                             [this](const KindUpdate& update) { take(update); });
        m_loop.run_at(monotonic_now() + HANG_LIMIT, [this] { m_loop.stop(); });
        sweep();
    }

    /// Runs the loop until each condition has held in turn; false if one never did.
    bool run_steps(std::vector<TestStep> steps) {
        m_steps = std::move(steps);
        m_loop.run();
        return m_steps.empty();
    }

    bool has(platform::Kind kind, const std::string& name) const {
        return m_objects.count({kind, name}) > 0;
    }

    /// For the update that removed the target `leaving`: a time after which that was done.
    std::optional<Time> removal_made_after() const {
        return m_removal_made_after;
    }

    /// True when every kind has been read; its watches wait from then on.
    bool is_complete() const {
        return has(platform::Kind::targets, "staying") && has(platform::Kind::nodes, "node") &&
               has(platform::Kind::quarantine, "r0") && has(platform::Kind::evacuations, "west");
    }

    bool has_drained() const {
        const auto found = m_objects.find({platform::Kind::targets, "draining"});
        return found != m_objects.end() &&
               nlohmann::json::parse(found->second).value("state", "") == "draining";
    }

    /// A counter of store calls for a kind.
    std::int64_t count(const std::string& name, platform::Kind kind) {
        return metrics.counter("ebonymount_store_" + name + "_total{kind=\"" +
                               platform::name_of(kind) + "\"}");
    }

private:
    void take(const KindUpdate& update) {
        if (update.is_list) {
            if (update.kind == platform::Kind::targets && has(platform::Kind::targets, "leaving")) {
                m_removal_made_after = update.made_after;
            }
            std::erase_if(m_objects, [&update](const auto& known) {
                return known.first.first == update.kind;
            });
        }
        for (const platform::StoredObject& object : update.objects) {
            if (object.removed) {
                m_removal_made_after = update.made_after;
                m_objects.erase({update.kind, object.name});
            } else {
                m_objects[{update.kind, object.name}] = object.spec;
            }
        }
    }

    void sweep() {
        m_feed->sweep(monotonic_now());
        if (on_sweep) {
            on_sweep();
        }
        if (advance_steps(m_steps)) {
            m_loop.stop();
            return;
        }
        m_loop.run_at(monotonic_now() + from_ms(20), [this] { sweep(); });
    }

    EventLoop m_loop;

public:
    Metrics metrics;
    standin::PlatformStore store;
    /// Called with each sweep; may be empty.
    std::function<void()> on_sweep;

private:
    /// Latest content received of each object, by kind and name.
    std::map<std::pair<platform::Kind, std::string>, std::string> m_objects;
    std::optional<Time> m_removal_made_after;
    std::unique_ptr<StoreFeed> m_feed;
    std::vector<TestStep> m_steps;
};

/// Recent reads return nothing that is written from now on.
void stop_recent_data(standin::PlatformStore& store) {
    standin::PlatformFaults faults;
    faults.stale_until = monotonic_now();
    store.set_faults(faults);
}

/// A target leaves without a word, another one says so, and a data centre goes out of service.
void write_changes(standin::PlatformStore& store) {
    store.remove(platform::names::TARGETS_KIND, "leaving");
    store.put(platform::names::TARGETS_KIND, "draining", {{"service", "s"}, {"state", "draining"}});
    store.put(platform::names::EVACUATIONS_KIND, "north", nlohmann::json::object());
}

bool has_changes(const LoneNode& node) {
    return !node.has(platform::Kind::targets, "leaving") && node.has_drained() &&
           node.has(platform::Kind::evacuations, "north");
}

}  // namespace

// Guards against lag that is noticed only when a watch ends: a target that left was used until
// then.
TEST_CASE("changes are noticed while a watch of recent data, which never shows them, stays open") {
    LoneNode node;
    CHECK(node.run_steps({{[&node] { return node.is_complete(); },
                           [&node] {
                               stop_recent_data(node.store);
                               write_changes(node.store);
                           }},
                          {[&node] { return has_changes(node); }, nullptr}}));
    CHECK(has_changes(node));
}

// Guards against a removed target that is used for a fixed time after a late update.
TEST_CASE("an update states a time before the changes that it reports") {
    for (const bool is_behind : {false, true}) {
        CAPTURE(is_behind);
        LoneNode node;
        Time removed_at{};
        CHECK(node.run_steps({{[&node] { return node.is_complete(); },
                               [&node, &removed_at, is_behind] {
                                   if (is_behind) {
                                       stop_recent_data(node.store);
                                   }
                                   removed_at = monotonic_now();
                                   write_changes(node.store);
                               }},
                              {[&node] { return has_changes(node); }, nullptr}}));
        REQUIRE(node.removal_made_after().has_value());
        CHECK(*node.removal_made_after() <= removed_at);
    }
}

// Guards against the same where the store has dropped its history, so that a list shows the
// removal.
TEST_CASE("a list that follows a lost history states a time before the removals that it shows") {
    LoneNode node;
    Time removed_at{};
    CHECK(node.run_steps(
        {{[&node] { return node.is_complete(); },
          [&node, &removed_at] {
              stop_recent_data(node.store);
              removed_at = monotonic_now();
              node.store.remove(platform::names::TARGETS_KIND, "leaving");
              node.store.compact();
          }},
         {[&node] { return !node.has(platform::Kind::targets, "leaving"); }, nullptr}}));
    REQUIRE(node.removal_made_after().has_value());
    CHECK(*node.removal_made_after() <= removed_at);
}

// Guards against the same where the store goes on to change, so that no read is ever of its latest
// revision for long.
TEST_CASE("changes are noticed though recent data never shows them and other changes go on") {
    for (const char* kind : {platform::names::QUARANTINE_KIND, platform::names::TARGETS_KIND,
                             platform::names::CONFIG_KIND}) {
        CAPTURE(kind);
        LoneNode node;
        int changes = 0;
        node.on_sweep = [&node, &changes, kind] {
            node.store.put(kind, "changing", {{"number", ++changes}});
        };
        CHECK(node.run_steps({{[&node] { return node.is_complete(); },
                               [&node] {
                                   stop_recent_data(node.store);
                                   write_changes(node.store);
                               }},
                              {[&node] { return has_changes(node); }, nullptr}}));
        CHECK(has_changes(node));
    }
}

// Guards against lag and a return of the store from an older copy at the same time: recent reads
// are of the era before, whose revisions are higher, and never show what was written since.
TEST_CASE("changes after a return are noticed though recent data is still of the era before") {
    LoneNode node;
    const auto lose_changes = [&node] {
        node.store.take_copy();
        for (int i = 0; i < 30; ++i) {
            node.store.put(platform::names::TARGETS_KIND, "lost", {{"number", i}});
            node.store.put(platform::names::EVACUATIONS_KIND, "lost", {{"number", i}});
        }
    };
    const auto go_back = [&node] {
        standin::PlatformFaults faults;
        faults.stale_until = monotonic_now();
        faults.stale_reads_are_of_earlier_era = true;
        node.store.set_faults(faults);
        node.store.return_from_copy();
        write_changes(node.store);
    };
    CHECK(node.run_steps({{[&node] { return node.is_complete(); }, lose_changes},
                          {[&node] {
                               return node.has(platform::Kind::targets, "lost") &&
                                      node.has(platform::Kind::evacuations, "lost");
                           },
                           go_back},
                          {[&node] { return has_changes(node); }, nullptr}}));
    CHECK(has_changes(node));
}

// Guards against calls on quiet days: a store that has not moved on leaves nothing to prove.
TEST_CASE("while the store does not change, no read is made to prove it") {
    LoneNode node;
    const std::int64_t enough = 8;
    CHECK(node.run_steps(
        {{[&node] { return node.is_complete(); }, nullptr},
         {[&node] { return node.count("calls", platform::Kind::config) >= enough; }, nullptr}}));
    for (const platform::Kind kind : {platform::Kind::targets, platform::Kind::evacuations}) {
        CHECK(node.count("proofs", kind) == 0);
        CHECK(node.count("current_proofs", kind) == 0);
        // The list, and the watch that waits.
        CHECK(node.count("calls", kind) == 2);
    }
}

// Guards against current reads where recent ones do: recent data that shows the change proves it.
TEST_CASE("a change elsewhere costs one recent read of each kind if recent data is up to date") {
    LoneNode node;
    standin::PlatformFaults faults;
    faults.stale_by = Duration::zero();
    node.store.set_faults(faults);
    const std::int64_t enough = 8;
    CHECK(node.run_steps(
        {{[&node] { return node.is_complete(); },
          [&node] {
              node.store.put(platform::names::QUARANTINE_KIND, "r1", nlohmann::json::object());
          }},
         {[&node] {
              return node.count("proofs", platform::Kind::targets) > 0 &&
                     node.count("proofs", platform::Kind::evacuations) > 0;
          },
          nullptr},
         {[&node] { return node.count("calls", platform::Kind::config) >= enough; }, nullptr}}));
    for (const platform::Kind kind : {platform::Kind::targets, platform::Kind::evacuations}) {
        CHECK(node.count("proofs", kind) == 1);
        CHECK(node.count("current_proofs", kind) == 0);
    }
}

}  // namespace ebonymount
