#include "soak_plan.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "base/random.h"

namespace soak {

using ebonymount::from_ms;
using ebonymount::Random;
using ebonymount::to_ms;
using ebonymount::uniform;

namespace {

/// Mean time between the starts of two series of steps.
constexpr double SERIES_GAP_MS = 900.0;

/// Maximum number of steps in a series, and the mean time between the starts of its steps.
constexpr std::size_t MAX_SERIES_STEPS = 3;
constexpr double STEP_GAP_MS = 700.0;

constexpr double MIN_LENGTH_MS = 300.0;
constexpr double MAX_LENGTH_MS = 4500.0;

constexpr std::array<const char*, static_cast<std::size_t>(StepKind::count)> NAMES = {
    "stop_node",
    "kill_node",
    "pause_node",
    "reload_node",
    "roll_nodes",
    "kill_all_nodes",
    "delay_store_link",
    "reset_store_link",
    "freeze_store_link",
    "silence_store_link",
    "delay_caller_link",
    "reset_caller_link",
    "silence_caller_link",
    "reset_target_link",
    "freeze_target_link",
    "silence_target_link",
    "spoil_target_link",
    "store_silent",
    "store_resets",
    "store_busy",
    "store_slow",
    "store_loses_answers",
    "store_forgets_history",
    "store_is_stale",
    "entries_lapse",
    "target_crashes",
    "target_drains",
    "target_vanishes",
    "target_slow",
    "target_refuses",
    "target_fails",
    "target_loses_answers",
    "address_reused",
    "shard_down",
    "config_moves_route",
    "config_adds_route",
    "config_storm",
    "repartition",
    "data_centre_out",
    "burst",
    "callers_leave",
    "target_names_limit",
    "silence_reader_links",
    "freeze_reader_links",
    "freeze_data_centre",
    "store_returns",
    "store_returns_twice",
    "data_centre_stays_out"};

/// Number of kinds that are drawn for series.
constexpr std::size_t SERIES_KINDS = static_cast<std::size_t>(StepKind::target_names_limit);

/// Number of targets that name a limit in a run. The limit starts in the first third, as the rule
/// holds from the stable window on.
constexpr std::size_t LIMIT_STEPS = 4;

/// Maximum number of returns of the store besides the series. They start in the first two thirds,
/// so that later steps of the plan meet the store after its return.
constexpr std::size_t MAX_RETURN_STEPS = 2;
constexpr double MIN_RETURN_MS = 1000.0;
constexpr double MAX_RETURN_MS = 7500.0;

Duration random_duration(Random& random, double min_ms, double max_ms) {
    return Duration(
        static_cast<std::int64_t>((min_ms + (max_ms - min_ms) * uniform(random)) * 1000.0));
}

void add_limit_steps(Random& random, Duration length, std::vector<SoakStep>& plan) {
    for (std::size_t i = 0; i < LIMIT_STEPS; ++i) {
        SoakStep step;
        step.kind = StepKind::target_names_limit;
        step.at = random_duration(random, 0.0, to_ms(length) / 3.0);
        step.length = length - step.at;
        step.strength = uniform(random);
        step.pick = random();
        plan.push_back(step);
    }
}

bool is_return(StepKind kind) {
    return kind == StepKind::store_returns || kind == StepKind::store_returns_twice;
}

void add_return_steps(Random& random, Duration length, std::vector<SoakStep>& plan) {
    const std::size_t steps = 1 + random() % MAX_RETURN_STEPS;
    for (std::size_t i = 0; i < steps; ++i) {
        SoakStep step;
        step.kind = random() % 2 == 0 ? StepKind::store_returns : StepKind::store_returns_twice;
        step.at = random_duration(random, 0.0, to_ms(length) * 2.0 / 3.0);
        step.length =
            std::min(random_duration(random, MIN_RETURN_MS, MAX_RETURN_MS), length - step.at);
        step.strength = uniform(random);
        step.pick = random();
        plan.push_back(step);
    }
}

}  // namespace

const char* name_of(StepKind kind) {
    return NAMES.at(static_cast<std::size_t>(kind));
}

std::optional<StepKind> find_kind(const std::string& name) {
    const auto found = std::find(NAMES.begin(), NAMES.end(), name);
    return found == NAMES.end()
               ? std::nullopt
               : std::optional<StepKind>(static_cast<StepKind>(found - NAMES.begin()));
}

std::vector<SoakStep> make_plan(std::uint64_t seed, Duration length,
                                const std::vector<StepKind>& kinds) {
    Random random(seed);
    std::vector<SoakStep> plan;
    Duration at{};
    while (at < length) {
        const StepKind kind = kinds.empty() ? static_cast<StepKind>(random() % SERIES_KINDS)
                                            : kinds[random() % kinds.size()];
        const std::size_t steps = 1 + random() % MAX_SERIES_STEPS;
        Duration step_at = at;
        for (std::size_t i = 0; i < steps; ++i) {
            SoakStep step;
            step.at = step_at;
            step.kind = kind;
            step.length = random_duration(random, MIN_LENGTH_MS, MAX_LENGTH_MS);
            step.strength = uniform(random);
            step.pick = random();
            if (step.at + step.length <= length) {
                plan.push_back(step);
            }
            step_at += random_duration(random, 0.0, 2.0 * STEP_GAP_MS);
        }
        at += random_duration(random, 0.0, 2.0 * SERIES_GAP_MS);
    }
    add_limit_steps(random, length, plan);
    if (kinds.empty() || std::any_of(kinds.begin(), kinds.end(), is_return)) {
        add_return_steps(random, length, plan);
    }
    const auto earlier = [](const SoakStep& left, const SoakStep& right) {
        return left.at < right.at;
    };
    std::stable_sort(plan.begin(), plan.end(), earlier);
    return plan;
}

std::string describe(const std::vector<SoakStep>& plan) {
    std::string text;
    for (const SoakStep& step : plan) {
        std::array<char, 128> line{};
        std::snprintf(line.data(), line.size(), "  %7.3f s  %-22s %6.0f ms  strength %.2f\n",
                      to_ms(step.at) / 1000.0, name_of(step.kind), to_ms(step.length),
                      step.strength);
        text += line.data();
    }
    return text;
}

}  // namespace soak
