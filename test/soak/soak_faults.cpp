// Applies the steps of a plan to the soak environment.
#include <algorithm>
#include <csignal>

#include "platform/names.h"
#include "soak_environment.h"

namespace soak {

using ebonymount::from_ms;
using ebonymount::monotonic_now;
using ebonymount::scaled;
namespace names = ebonymount::platform::names;
using standin::LinkDirection;
using standin::Outage;
using standin::PlatformFaults;
using standin::TargetBehaviour;

namespace {

constexpr double DEFAULT_DELAY_MS = 1.0;
constexpr double DEFAULT_JITTER_MS = 0.5;

/// Minimum delay between the signal of a graceful stop and the restart.
constexpr Duration RESTART_DELAY = from_ms(300);

/// Maximum delay between the stops of two successive nodes in a rolling stop.
constexpr Duration MAX_ROLL_GAP = from_ms(1500);

/// A draining target keeps serving for this long after the drain bound has passed.
constexpr Duration DRAIN_SLACK = from_ms(1500);

/// Delay after a target has ended until another target may use its address.
constexpr Duration ADDRESS_REUSE_DELAY = from_ms(2000);

/// Targets whose entries expired register again this long after the store has recovered.
constexpr Duration REREGISTRATION_DELAY = from_ms(1500);

/// A node that reads the store for others keeps more connections to it than any other.
constexpr std::size_t READER_CONNECTIONS = 3;

/// Of two outages, the one that shows clients the least: silence, then reset connections.
Outage stronger(Outage left, Outage right) {
    const bool both = left != Outage::none && right != Outage::none;
    return both ? std::min(left, right) : std::max(left, right);
}

/// The copy from which the store returns is this old, as far as the step's length allows it.
constexpr Duration MIN_COPY_AGE = from_ms(500);
constexpr Duration MAX_COPY_AGE = from_ms(6000);

/// Time for which the store is away before it returns.
constexpr std::int64_t MIN_AWAY_MS = 200;
constexpr std::int64_t MAX_AWAY_MS = 1500;

/// Maximum number of entries that targets write anew, with nothing changed, between the copy and
/// the outage. The revisions after the return stay below those before it for as long.
constexpr std::int64_t MAX_RENEWED_ENTRIES = 120;

/// Writers notice within this time that the store has lost what they wrote, and write it again.
constexpr std::int64_t MIN_REWRITE_MS = 200;
constexpr std::int64_t MAX_REWRITE_MS = 1500;

/// Recent reads may be answered from the earlier era for this long after the return.
constexpr std::int64_t MAX_EARLIER_ERA_MS = 2000;

/// Time from a return until the copy of the next one is taken: before or after its writers have
/// written again. Then the store goes on for up to `MAX_SECOND_AGE`.
constexpr Duration SECOND_COPY_DELAY = from_ms(MAX_REWRITE_MS);
constexpr Duration MAX_SECOND_AGE = from_ms(3000);

/// Probes after a return start once the nodes count as stable again.
constexpr Duration PROBE_DELAY = from_ms(100);

std::int64_t between(std::uint64_t pick, std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(pick % static_cast<std::uint64_t>(to - from + 1));
}

LinkDirection direction_of(std::uint64_t pick) {
    constexpr std::uint64_t DIRECTIONS = 3;
    return static_cast<LinkDirection>(pick / 7 % DIRECTIONS);
}

}  // namespace

void SoakEnvironment::mark_disturbed(Node& node, Duration length) {
    m_checker.mark_node_disturbed(node.name, monotonic_now() + length);
}

void SoakEnvironment::mark_disturbed(TargetSlot& slot, Duration length) {
    m_checker.mark_target_disturbed(slot.parameters.id, monotonic_now() + length);
}

void SoakEnvironment::apply(const SoakStep& step) {
    Node& node = *m_nodes[step.pick % m_nodes.size()];
    TargetSlot& slot = *m_slots[step.pick % m_slots.size()];
    if (step.kind == StepKind::store_returns || step.kind == StepKind::store_returns_twice) {
        apply_return(step);
    } else if (step.kind == StepKind::data_centre_stays_out) {
        take_out(slot.parameters.data_centre, m_bounds.evacuate + step.length);
    } else if (step.kind > StepKind::target_names_limit) {
        apply_to_store_links(step);
    } else if (step.kind <= StepKind::kill_all_nodes) {
        apply_to_node(step, node);
    } else if (step.kind <= StepKind::spoil_target_link) {
        apply_to_link(step, node, slot);
    } else if (step.kind <= StepKind::entries_lapse) {
        apply_to_store(step);
    } else if (step.kind <= StepKind::shard_down) {
        apply_to_target(step, slot);
    } else if (step.kind == StepKind::target_names_limit) {
        limit_target(step, slot);
    } else {
        apply_by_operator(step);
    }
}

void SoakEnvironment::stop_node(Node& node) {
    if (!node.process.is_running() || node.stopping) {
        return;
    }
    node.stopping = true;
    node.restart_at = monotonic_now() + RESTART_DELAY;
    m_checker.on_planned_stop(node.name, monotonic_now());
    node.process.signal(SIGTERM);
    // A process that is still running after the grace period is killed. The checker reports that as
    // an unexpected end, unless the process is paused and so cannot end by itself.
    run_after(m_bounds.grace, [&node, stop = ++node.stops] {
        if (node.stopping && node.stops == stop) {
            node.killed = node.killed || monotonic_now() < node.paused_until;
            node.process.signal(SIGKILL);
        }
    });
}

void SoakEnvironment::kill_node(Node& node, Duration downtime) {
    if (!node.process.is_running()) {
        return;
    }
    node.killed = true;
    node.restart_at = monotonic_now() + downtime;
    mark_disturbed(node, downtime);
    node.process.signal(SIGKILL);
}

void SoakEnvironment::apply_to_node(const SoakStep& step, Node& node) {
    switch (step.kind) {
        case StepKind::stop_node:
            stop_node(node);
            return;
        case StepKind::kill_node:
            kill_node(node, step.length);
            return;
        case StepKind::pause_node:
            mark_disturbed(node, step.length);
            node.paused_until = std::max(node.paused_until, monotonic_now() + step.length);
            node.process.signal(SIGSTOP);
            run_after(step.length, [&node] { node.process.signal(SIGCONT); });
            return;
        case StepKind::reload_node:
            ++node.revision;
            write_settings(node);
            if (step.strength < 0.5) {
                node.process.signal(SIGHUP);
            }
            return;
        case StepKind::roll_nodes: {
            const Duration gap = scaled(MAX_ROLL_GAP, step.strength);
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                run_after(gap * static_cast<std::int64_t>(i),
                          [this, i] { stop_node(*m_nodes[i]); });
            }
            return;
        }
        default:
            for (const std::unique_ptr<Node>& victim : m_nodes) {
                if (ebonymount::uniform(m_random) < 0.4 + 0.6 * step.strength) {
                    kill_node(*victim, step.length / 2);
                }
            }
            return;
    }
}

void SoakEnvironment::apply_to_link(const SoakStep& step, Node& node, TargetSlot& slot) {
    const LinkPointer link = step.kind <= StepKind::silence_store_link    ? node.store_link
                             : step.kind <= StepKind::silence_caller_link ? node.caller_link
                                                                          : slot.link;
    if (step.kind <= StepKind::silence_caller_link) {
        mark_disturbed(node, step.length);
    } else {
        mark_disturbed(slot, step.length);
    }
    switch (step.kind) {
        case StepKind::delay_store_link:
        case StepKind::delay_caller_link:
            link->set_delay(20.0 + 200.0 * step.strength, 50.0);
            run_after(step.length,
                      [link] { link->set_delay(DEFAULT_DELAY_MS, DEFAULT_JITTER_MS); });
            return;
        case StepKind::reset_store_link:
        case StepKind::reset_caller_link:
        case StepKind::reset_target_link:
            link->reset_connections(step.strength);
            return;
        case StepKind::freeze_store_link:
        case StepKind::freeze_target_link: {
            const LinkDirection direction = direction_of(step.pick);
            link->set_frozen(true, direction);
            run_after(step.length, [link, direction] { link->set_frozen(false, direction); });
            return;
        }
        case StepKind::spoil_target_link:
            link->set_corrupted_share(0.1 + 0.4 * step.strength);
            run_after(step.length, [link] { link->set_corrupted_share(0.0); });
            return;
        default:
            link->silence_connections(0.5 + 0.5 * step.strength);
            return;
    }
}

void SoakEnvironment::apply_to_store_links(const SoakStep& step) {
    const std::string& data_centre = m_nodes[step.pick % m_nodes.size()]->data_centre;
    for (const std::unique_ptr<Node>& node : m_nodes) {
        const LinkPointer link = node->store_link;
        const bool is_affected = step.kind == StepKind::freeze_data_centre
                                     ? node->data_centre == data_centre
                                     : link->connections() >= READER_CONNECTIONS;
        if (!is_affected) {
            continue;
        }
        mark_disturbed(*node, step.length);
        if (step.kind == StepKind::silence_reader_links) {
            link->silence_connections(0.2 + 0.8 * step.strength);
        } else {
            link->set_frozen(true);
            run_after(step.length, [link] { link->set_frozen(false); });
        }
    }
}

PlatformFaults combined_store_faults(const std::vector<SoakStep>& steps) {
    PlatformFaults faults;
    for (const SoakStep& step : steps) {
        switch (step.kind) {
            case StepKind::store_silent:
            case StepKind::entries_lapse:
                faults.outage = stronger(faults.outage, Outage::silent);
                break;
            case StepKind::store_resets:
                faults.outage = stronger(faults.outage, Outage::reset);
                break;
            case StepKind::store_busy:
                faults.outage = stronger(faults.outage, Outage::busy);
                break;
            case StepKind::store_slow:
                faults.response_time =
                    std::max(faults.response_time, scaled(from_ms(400), step.strength));
                break;
            case StepKind::store_loses_answers:
                faults.lost_response_share = 0.5;
                break;
            case StepKind::store_is_stale:
                faults.stale_by = from_ms(6000);
                break;
            case StepKind::store_returns:
            case StepKind::store_returns_twice:
                faults.stale_reads_are_of_earlier_era = true;
                break;
            default:
                break;
        }
    }
    return faults;
}

void SoakEnvironment::apply_to_store(const SoakStep& step) {
    m_checker.mark_store_disturbed(monotonic_now() + step.length);
    if (step.kind == StepKind::store_forgets_history) {
        m_store->compact();
        return;
    }
    add_store_fault(step);
    if (step.kind == StepKind::entries_lapse) {
        for (const std::unique_ptr<TargetSlot>& slot : m_slots) {
            if (slot->registered && ebonymount::uniform(m_random) < step.strength) {
                m_store->remove(names::TARGETS_KIND, slot->parameters.id);
            }
        }
        run_after(step.length + REREGISTRATION_DELAY, [this] {
            for (const std::unique_ptr<TargetSlot>& slot : m_slots) {
                if (slot->registered) {
                    register_target(*slot,
                                    slot->target->behaviour().draining ? "draining" : "ready");
                }
            }
        });
    }
}

void SoakEnvironment::add_store_fault(const SoakStep& step) {
    m_store_steps.push_back(step);
    m_store->set_faults(combined_store_faults(m_store_steps));
    run_after(step.length, [this, step] {
        m_store_steps.erase(std::find(m_store_steps.begin(), m_store_steps.end(), step));
        m_store->set_faults(combined_store_faults(m_store_steps));
    });
}

void SoakEnvironment::apply_return(const SoakStep& step) {
    if (m_store_is_returning) {
        return;
    }
    m_store_is_returning = true;
    const Duration age = MIN_COPY_AGE + scaled(MAX_COPY_AGE - MIN_COPY_AGE, step.strength);
    return_store(step, std::min(age, step.length), [this, step] {
        if (step.kind == StepKind::store_returns) {
            m_store_is_returning = false;
            return;
        }
        SoakStep second = step;
        second.pick = step.pick / 11;
        run_after(second.pick % 2 == 0 ? Duration::zero() : SECOND_COPY_DELAY, [this, second] {
            return_store(second, MIN_COPY_AGE + scaled(MAX_SECOND_AGE, second.strength),
                         [this] { m_store_is_returning = false; });
        });
    });
}

void SoakEnvironment::return_store(const SoakStep& step, Duration age,
                                   const std::function<void()>& ended) {
    SoakStep away = step;
    away.kind = step.pick % 2 == 0 ? StepKind::store_silent : StepKind::store_resets;
    away.length = from_ms(between(step.pick / 2, MIN_AWAY_MS, MAX_AWAY_MS));
    m_store->take_copy();
    const std::int64_t renewed = between(step.pick / 13, 0, MAX_RENEWED_ENTRIES);
    for (std::int64_t i = 0; i < renewed; ++i) {
        run_after(age * i / renewed,
                  [this] { renew_entry(*m_slots[m_random() % m_slots.size()]); });
    }
    run_after(age, [this, away] {
        m_checker.mark_store_disturbed(monotonic_now() + away.length);
        add_store_fault(away);
    });
    run_after(age + away.length, [this, step, ended] {
        // The outage ends in the same turn of the loop or the next.
        m_checker.mark_store_disturbed(monotonic_now());
        for (const auto& [kind, name] : m_store->return_from_copy()) {
            const Duration delay = from_ms(between(m_random(), MIN_REWRITE_MS, MAX_REWRITE_MS));
            run_after(delay, [this, kind = kind, name = name] { write_again(kind, name); });
        }
        if (step.pick / 3 % 2 == 0) {
            SoakStep earlier = step;
            earlier.length = from_ms(between(step.pick / 5, 0, MAX_EARLIER_ERA_MS));
            add_store_fault(earlier);
        }
        run_after(m_bounds.stable_window + PROBE_DELAY, [this] { probe_all_routes(); });
        ended();
    });
}

void SoakEnvironment::renew_entry(TargetSlot& slot) {
    if (slot.registered && !slot.target->is_down()) {
        register_target(slot, slot.target->behaviour().draining ? "draining" : "ready");
    }
}

void SoakEnvironment::write_again(const std::string& kind, const std::string& name) {
    std::optional<nlohmann::json> wanted;
    if (kind == names::CONFIG_KIND) {
        wanted = m_published_config;
    } else if (kind == names::EVACUATIONS_KIND) {
        if (m_out_of_service.count(name) > 0) {
            wanted = nlohmann::json::object();
        }
    } else if (kind == names::TARGETS_KIND) {
        for (const std::unique_ptr<TargetSlot>& slot : m_slots) {
            if (slot->parameters.id != name || !slot->registered) {
                continue;
            }
            if (slot->target->is_down()) {
                return;  // Its entry expires.
            }
            wanted = entry_of(*slot, slot->target->behaviour().draining ? "draining" : "ready");
        }
    } else {
        return;
    }
    if (wanted == m_store->find_spec(kind, name)) {
        return;
    }
    if (wanted.has_value()) {
        m_store->put(kind, name, *wanted);
    } else {
        m_store->remove(kind, name);
    }
}

void SoakEnvironment::restart_target(TargetSlot& slot, const std::string& service) {
    slot.target->crash();
    unregister_target(slot);
    slot.parameters.service = service;
    open_target(slot);
    register_target(slot, "ready");
}

void SoakEnvironment::crash_target(TargetSlot& slot, Duration downtime,
                                   const std::string& new_service) {
    if (slot.target->is_down()) {
        return;
    }
    slot.target->crash();
    // The entry expires after three heartbeats, unless the target is back earlier.
    run_after(std::min(downtime, from_ms(3600)), [this, &slot] { unregister_target(slot); });
    run_after(downtime, [this, &slot, new_service] { restart_target(slot, new_service); });
}

void SoakEnvironment::drain_target(TargetSlot& slot, bool unannounced) {
    if (slot.target->is_down() || slot.target->behaviour().draining || !slot.registered) {
        return;
    }
    TargetBehaviour behaviour = slot.target->behaviour();
    behaviour.draining = true;
    slot.target->set_behaviour(behaviour);
    if (unannounced) {
        unregister_target(slot);
    } else {
        register_target(slot, "draining");
        m_checker.on_target_leaving(slot.parameters.id, monotonic_now());
    }
    run_after(m_bounds.drain + DRAIN_SLACK, [this, &slot, id = slot.parameters.id] {
        if (slot.parameters.id == id) {
            restart_target(slot, slot.parameters.service);
        }
    });
}

void SoakEnvironment::limit_target(const SoakStep& step, TargetSlot& slot) {
    if (slot.target->is_down()) {
        return;
    }
    const std::int64_t limit = 2 + static_cast<std::int64_t>(18.0 * step.strength);
    TargetBehaviour behaviour = slot.target->behaviour();
    behaviour.limit = std::to_string(limit) + ".0";
    slot.target->set_behaviour(behaviour);
    m_checker.on_limit(slot.parameters.id, static_cast<double>(limit), monotonic_now());
    run_after(step.length, [this, &slot, id = slot.parameters.id] {
        m_checker.on_limit_ended(id);
        TargetBehaviour restored = slot.target->behaviour();
        restored.limit.clear();
        slot.target->set_behaviour(restored);
    });
}

void SoakEnvironment::apply_to_target(const SoakStep& step, TargetSlot& slot) {
    TargetBehaviour behaviour = slot.target->behaviour();
    switch (step.kind) {
        case StepKind::target_crashes:
            crash_target(slot, step.length, slot.parameters.service);
            return;
        case StepKind::target_drains:
        case StepKind::target_vanishes:
            drain_target(slot, step.kind == StepKind::target_vanishes);
            return;
        case StepKind::address_reused: {
            const std::string other = m_slots[step.pick / 3 % m_slots.size()]->parameters.service;
            crash_target(slot, ADDRESS_REUSE_DELAY, other);
            // Returns the target to its original service, whose shard would otherwise stay short of
            // replicas.
            run_after(ADDRESS_REUSE_DELAY + step.length,
                      [this, &slot, service = slot.parameters.service] {
                          crash_target(slot, ADDRESS_REUSE_DELAY, service);
                      });
            return;
        }
        case StepKind::shard_down:
            for (const std::unique_ptr<TargetSlot>& other : m_slots) {
                if (other->parameters.service == slot.parameters.service) {
                    crash_target(*other, step.length, other->parameters.service);
                }
            }
            return;
        case StepKind::target_slow:
            behaviour.slow_factor = 2.0 + 10.0 * step.strength;
            break;
        case StepKind::target_refuses:
            behaviour.refused_share = 0.2 + 0.8 * step.strength;
            break;
        case StepKind::target_fails:
            behaviour.failed_share = 0.2 + 0.8 * step.strength;
            break;
        default:
            behaviour.lost_response_share = 0.05 + 0.3 * step.strength;
            break;
    }
    slot.target->set_behaviour(behaviour);
    run_after(step.length, [&slot] {
        TargetBehaviour restored;
        restored.draining = slot.target->behaviour().draining;
        restored.limit = slot.target->behaviour().limit;
        slot.target->set_behaviour(restored);
    });
}

void SoakEnvironment::apply_by_operator(const SoakStep& step) {
    switch (step.kind) {
        case StepKind::config_moves_route: {
            std::string& service = m_config.routes["book"].services.front();
            service = service == "booking" ? "awards" : "booking";
            publish_and_probe("book");
            return;
        }
        case StepKind::config_adds_route: {
            if (step.strength < 0.5) {
                add_nested_route(step);
                return;
            }
            const std::string name = "extra-" + std::to_string(m_config.version);
            m_config.routes[name] = {name, true, 2, from_ms(2000), {"awards"}};
            publish_and_probe(name);
            return;
        }
        case StepKind::config_storm:
            for (Duration at{}; at < step.length; at += from_ms(200)) {
                run_after(at, [this] { publish_config(); });
            }
            run_after(step.length, [this] { publish_and_probe("book"); });
            return;
        case StepKind::repartition:
            m_repartitioned = !m_repartitioned;
            publish_and_probe("browse");
            return;
        case StepKind::data_centre_out:
            take_out(m_slots[step.pick % m_slots.size()]->parameters.data_centre, step.length);
            return;
        case StepKind::burst:
            m_rate_per_s = m_options.rate_per_s * (1.0 + 3.0 * step.strength);
            run_after(step.length, [this] { m_rate_per_s = m_options.rate_per_s; });
            return;
        default:
            m_disconnect_share = 0.1 + 0.4 * step.strength;
            run_after(step.length, [this] { m_disconnect_share = 0.0; });
            return;
    }
}

void SoakEnvironment::take_out(const std::string& data_centre, Duration length) {
    m_out_of_service.insert(data_centre);
    m_store->put(names::EVACUATIONS_KIND, data_centre, nlohmann::json::object());
    m_checker.on_data_centre(data_centre, false, monotonic_now());
    run_after(length, [this, data_centre] {
        m_out_of_service.erase(m_out_of_service.find(data_centre));
        if (m_out_of_service.count(data_centre) == 0) {
            m_store->remove(names::EVACUATIONS_KIND, data_centre);
            m_checker.on_data_centre(data_centre, true, monotonic_now());
        }
    });
}

}  // namespace soak
