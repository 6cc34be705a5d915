// The faults and operations of one soak run, generated from a seed.
//
// Steps come in series of one kind and may overlap. A step names the kind of event; the environment
// selects the node, target or link by the step's own random number, so the same seed gives the same
// timeline.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace soak {

using ebonymount::Duration;

/// Kinds of steps, grouped by what they act on: nodes, links, the store, targets, and last the
/// operator and callers. `SoakEnvironment::apply` compares kinds by this order, and the order also
/// determines the plan of a seed.
enum class StepKind : std::uint8_t {
    stop_node,       ///< SIGTERM; restarted once it has ended.
    kill_node,       ///< SIGKILL; restarted after the step's length.
    pause_node,      ///< SIGSTOP, then SIGCONT.
    reload_node,     ///< The settings file changes, with or without a SIGHUP.
    roll_nodes,      ///< Graceful stop of all nodes, one after the other.
    kill_all_nodes,  ///< Most nodes, chosen at random, are killed at once.
    delay_store_link,
    reset_store_link,
    freeze_store_link,  ///< One direction is partitioned, or both.
    silence_store_link,
    delay_caller_link,
    reset_caller_link,
    silence_caller_link,
    reset_target_link,
    freeze_target_link,
    silence_target_link,
    spoil_target_link,  ///< Parts of responses are truncated or sent twice.
    store_silent,
    store_resets,
    store_busy,
    store_slow,
    store_loses_answers,
    store_forgets_history,
    store_is_stale,
    entries_lapse,  ///< The store is unreachable, and entries of targets expire meanwhile.
    target_crashes,
    target_drains,
    target_vanishes,  ///< Its entry is removed without a draining state; it serves for a while.
    target_slow,
    target_refuses,
    target_fails,
    target_loses_answers,
    address_reused,  ///< A target of another service takes over a crashed target's address.
    shard_down,
    config_moves_route,
    config_adds_route,
    config_storm,
    repartition,
    data_centre_out,
    burst,
    callers_leave,
    target_names_limit,  ///< First of the kinds that are not drawn for series.
    silence_reader_links,
    freeze_reader_links,
    freeze_data_centre,     ///< No node of a data centre reaches the store.
    store_returns,          ///< The store is away and returns from a copy some seconds old.
    store_returns_twice,    ///< Returns once more, a few seconds later.
    data_centre_stays_out,  ///< Out of service for longer than the bound of an evacuation.
    count,                  ///< Number of kinds; not a kind itself.
};

/// Name of a kind, as printed in the timeline.
const char* name_of(StepKind kind);

/// The kind of that name, if there is one.
std::optional<StepKind> find_kind(const std::string& name);

/// A fault or operation with its start and length.
struct SoakStep {
    /// Time since the start of the fault phase.
    Duration at{};
    StepKind kind = StepKind::stop_node;
    Duration length{};
    /// Intensity of the fault, from 0 to 1.
    double strength = 0.0;
    /// Random number that selects the node, target, link or direction.
    std::uint64_t pick = 0;

    friend bool operator==(const SoakStep&, const SoakStep&) = default;
};

/// Generates the steps of a fault phase of `length`, ordered by time. The series come first, so
/// that kinds added later leave the series of a kept seed as they were. Series are of the given
/// kinds, or of all kinds that are drawn for series if none are given. A plan of all kinds, or of
/// kinds in which the store returns from a copy, has one or two such steps besides its series.
std::vector<SoakStep> make_plan(std::uint64_t seed, Duration length,
                                const std::vector<StepKind>& kinds = {});

/// The timeline as text, one line for each step.
std::string describe(const std::vector<SoakStep>& plan);

}  // namespace soak
