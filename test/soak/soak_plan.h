// The faults and operations of one soak, drawn from a seed.
//
// Steps come in series and overlap. A step names what happens in general; the world picks the
// node, target or link by the step's own random number, so the same seed tells the same story.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace soak {

using ebonymount::Duration;

enum class StepKind : std::uint8_t {
    stop_node,       ///< SIGTERM, and a new start once it has ended.
    kill_node,       ///< SIGKILL, and a new start.
    pause_node,      ///< SIGSTOP, and SIGCONT.
    reload_node,     ///< The settings file changes, with SIGHUP or without.
    roll_nodes,      ///< All nodes are stopped in order, one after the other.
    kill_all_nodes,  ///< Most nodes are killed at once.
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
    spoil_target_link,  ///< Answers are cut or repeated.
    store_silent,
    store_resets,
    store_busy,
    store_slow,
    store_loses_answers,
    store_forgets_history,
    store_is_stale,
    entries_lapse,  ///< The store is away, and entries of targets lapse meanwhile.
    target_crashes,
    target_drains,
    target_vanishes,  ///< Its entry goes without a word; it serves on for a while.
    target_slow,
    target_refuses,
    target_fails,
    target_loses_answers,
    address_reused,  ///< A target of another service takes the address of one that crashed.
    shard_down,
    config_moves_route,
    config_adds_route,
    config_storm,
    repartition,
    data_centre_out,
    burst,
    callers_leave,
    count,  ///< Number of kinds; no kind of its own.
};

/// Name of a kind, as reports print it.
const char* name_of(StepKind kind);

struct SoakStep {
    Duration at{};
    StepKind kind = StepKind::stop_node;
    Duration length{};
    /// How strong, from 0 to 1.
    double strength = 0.0;
    /// Chooses node, target, link or direction.
    std::uint64_t pick = 0;

    friend bool operator==(const SoakStep&, const SoakStep&) = default;
};

/// Steps within `length`, in the order of time.
std::vector<SoakStep> make_plan(std::uint64_t seed, Duration length);

/// One line for each step.
std::string describe(const std::vector<SoakStep>& plan);

}  // namespace soak
