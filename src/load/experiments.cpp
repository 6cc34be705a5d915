#include "load/experiments.h"

#include <algorithm>
#include <optional>
#include <thread>

namespace ebonymount {
namespace {

const std::string SERVICE = "catalogue";

/// Rate well below the deployment's capacity on a small machine.
constexpr double CALM_RATE_PER_S = 80.0;

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[values.size() / 2];
}

std::vector<LoadSample> load(const RunningDeployment& deployment, double rate, std::int64_t count) {
    LoadOptions options;
    options.callers = deployment.callers;
    options.service = SERVICE;
    options.rate_per_s = rate;
    options.count = count;
    options.threads = 96;
    return run_open_loop(options);
}

double p99(const RunningDeployment& deployment, std::int64_t count) {
    return summarize(load(deployment, CALM_RATE_PER_S, count)).p99_ms;
}

/// Brings all targets of the service to their warm state.
void warm_up(const RunningDeployment& deployment) {
    load(deployment, CALM_RATE_PER_S, static_cast<std::int64_t>(CALM_RATE_PER_S) * 4);
}

void sleep_ms(std::int64_t milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Runs load in the background while `act` changes something.
std::vector<LoadSample> load_while(const RunningDeployment& deployment, double rate,
                                   std::int64_t count, const std::function<void()>& act) {
    std::vector<LoadSample> samples;
    std::thread loader([&] { samples = load(deployment, rate, count); });
    act();
    loader.join();
    return samples;
}

Figures stragglers(const RunningDeployment& deployment, const ExperimentSize& size) {
    std::vector<double> over_clean;
    std::vector<double> over_baseline;
    warm_up(deployment);
    for (int round = 0; round < size.rounds; ++round) {
        control_targets(deployment, SERVICE, "action=stragglers&share=0&factor=1");
        const double clean = p99(deployment, size.requests);
        control_targets(deployment, SERVICE, "action=stragglers&share=0.01&factor=10");
        const double product = p99(deployment, size.requests);
        set_cells(deployment, SERVICE, {{"hedge_quantile_permille", 1000}});
        const double baseline = p99(deployment, size.requests);
        set_cells(deployment, SERVICE, {{"hedge_quantile_permille", 960}});
        over_clean.push_back(product / clean);
        over_baseline.push_back(product / baseline);
    }
    control_targets(deployment, SERVICE, "action=stragglers&share=0&factor=1");
    return {{"straggler_p99_over_clean", median(over_clean)},
            {"straggler_p99_over_baseline", median(over_baseline)}};
}

double extra_share(const RunningDeployment& deployment, std::int64_t count) {
    const ExtraTotals before = extra_totals(deployment, SERVICE);
    load(deployment, CALM_RATE_PER_S, count);
    const ExtraTotals after = extra_totals(deployment, SERVICE);
    const double planned = static_cast<double>(after.planned - before.planned);
    return planned == 0.0 ? 0.0 : static_cast<double>(after.extra - before.extra) / planned;
}

Figures extra_load(const RunningDeployment& deployment, const ExperimentSize& size) {
    std::vector<double> product;
    std::vector<double> baseline;
    for (int round = 0; round < size.rounds; ++round) {
        control_targets(deployment, SERVICE, "action=stragglers&share=0.1&factor=30");
        product.push_back(extra_share(deployment, size.requests));
        set_cells(deployment, SERVICE, {{"extra_load_permille", 1000}});
        baseline.push_back(extra_share(deployment, size.requests));
        set_cells(deployment, SERVICE, {{"extra_load_permille", 50}});
        control_targets(deployment, SERVICE, "action=stragglers&share=0&factor=1");
    }
    return {{"extra_load", median(product)}, {"extra_load_baseline", median(baseline)}};
}

/// Answers that were whole, per second of the run.
double goodput(const RunningDeployment& deployment, double rate, std::int64_t count) {
    const LoadSummary summary = summarize(load(deployment, rate, count));
    return static_cast<double>(summary.whole) / (static_cast<double>(count) / rate);
}

Figures overload(const RunningDeployment& deployment, const ExperimentSize& size) {
    // At 40 ms a target with two slots serves 50 a second, three replicas of a shard 150.
    constexpr double CAPACITY_PER_S = 150.0;
    control_targets(deployment, SERVICE, "action=service&ms=40");
    set_cells(deployment, SERVICE, {{"soft_deadline_ms", 400}, {"hard_deadline_ms", 400}});
    load(deployment, CAPACITY_PER_S * 0.5, size.requests);
    const std::int64_t before = target_totals(deployment, SERVICE).overloads;
    std::vector<double> ratios;
    for (int round = 0; round < size.rounds; ++round) {
        const double at_half = goodput(deployment, CAPACITY_PER_S * 0.5, size.requests);
        const double at_one = goodput(deployment, CAPACITY_PER_S, size.requests * 2);
        const double at_two = goodput(deployment, CAPACITY_PER_S * 2.0, size.requests * 4);
        ratios.push_back(at_two / std::max(at_half, at_one));
    }
    const std::int64_t after = target_totals(deployment, SERVICE).overloads;
    control_targets(deployment, SERVICE, "action=service&ms=4");
    set_cells(deployment, SERVICE, {{"soft_deadline_ms", 45}, {"hard_deadline_ms", 250}});
    return {{"goodput_at_2x", median(ratios)}, {"overloads", static_cast<double>(after - before)}};
}

Figures cold_start(const RunningDeployment& deployment, const ExperimentSize& size) {
    warm_up(deployment);
    const std::int64_t before = target_totals(deployment, SERVICE).cold_overloads;
    std::vector<double> partial;
    for (int round = 0; round < size.rounds; ++round) {
        const std::vector<LoadSample> samples =
            load_while(deployment, CALM_RATE_PER_S, size.requests, [&deployment] {
                sleep_ms(500);
                control_targets(deployment, "-east", "action=restart");
            });
        const LoadSummary summary = summarize(samples);
        partial.push_back(static_cast<double>(summary.count - summary.whole) /
                          static_cast<double>(summary.count));
    }
    const std::int64_t after = target_totals(deployment, SERVICE).cold_overloads;
    return {{"cold_overloads", static_cast<double>(after - before)},
            {"cold_not_whole_share", median(partial)}};
}

Figures data_centre_leaves(const RunningDeployment& deployment, const ExperimentSize& size) {
    warm_up(deployment);
    const double steady = p99(deployment, size.requests);
    std::int64_t out_at_ms = 0;
    const std::vector<LoadSample> leaving =
        load_while(deployment, CALM_RATE_PER_S, static_cast<std::int64_t>(CALM_RATE_PER_S) * 8,
                   [&deployment, &out_at_ms] {
                       sleep_ms(1000);
                       set_data_centre(deployment, "east", true);
                       out_at_ms = wall_clock_ms();
                   });
    const std::int64_t last_start = target_totals(deployment, SERVICE + "-").last_start_ms;
    const TargetTotals east = target_totals(deployment, "-east");
    const std::vector<LoadSample> returning =
        load_while(deployment, CALM_RATE_PER_S, size.requests,
                   [&deployment] { set_data_centre(deployment, "east", false); });
    const LoadSummary left = summarize(leaving);
    const LoadSummary back = summarize(returning);
    const std::int64_t late_ms = std::max<std::int64_t>(0, east.last_start_ms - out_at_ms);
    return {{"dc_failed_requests",
             static_cast<double>(left.failed + left.refused + back.failed + back.refused)},
            {"dc_late_work", late_ms > 5000 ? 1.0 : 0.0},
            {"dc_last_work_after_ms", static_cast<double>(late_ms)},
            {"dc_return_p99_over_steady", back.p99_ms / steady},
            {"dc_load_went_on", last_start > out_at_ms ? 1.0 : 0.0}};
}

Figures platform_down(const RunningDeployment& deployment, const ExperimentSize& size) {
    warm_up(deployment);
    std::vector<double> ratios;
    for (int round = 0; round < size.rounds; ++round) {
        const double steady = goodput(deployment, CALM_RATE_PER_S, size.requests);
        set_platform_fault(deployment, "down=1");
        // Longer than a lease, so that holders go on at half of each limit.
        sleep_ms(8000);
        ratios.push_back(goodput(deployment, CALM_RATE_PER_S, size.requests) / steady);
        set_platform_fault(deployment, "down=0");
        sleep_ms(4000);
    }
    return {{"outage_goodput_over_steady", median(ratios)}};
}

/// Time that a traced request spent outside its slowest target, or nothing when it was not whole.
std::optional<double> added_ms(const Json& trace) {
    if (trace.at("end") != "complete") {
        return std::nullopt;
    }
    std::int64_t whole_us = 0;
    std::int64_t slowest_us = 0;
    for (const Json& span : trace.at("spans")) {
        const std::int64_t duration_us = span.at("duration_us").get<std::int64_t>();
        if (span.at("name") == "gateway") {
            whole_us = duration_us;
        } else if (span.at("name") == "target") {
            slowest_us = std::max(slowest_us, duration_us);
        }
    }
    return static_cast<double>(whole_us - slowest_us) / 1000.0;
}

/// What the path adds within one data centre: the others are out meanwhile.
Figures path(const RunningDeployment& deployment, const ExperimentSize& size) {
    constexpr double RATE_PER_S = 200.0;
    set_data_centre(deployment, "north", true);
    set_data_centre(deployment, "west", true);
    RunningDeployment near = deployment;
    near.callers = {deployment.callers.at(0), deployment.callers.at(1)};
    load(near, RATE_PER_S, size.requests * 2);
    set_cells(deployment, SERVICE, {{"trace_permille", 1000}});
    load(near, RATE_PER_S, size.requests * 2);
    std::vector<double> added;
    for (std::size_t node = 0; node < 2; ++node) {
        for (const Json& trace : traces_of(deployment, node)) {
            if (const std::optional<double> milliseconds = added_ms(trace)) {
                added.push_back(*milliseconds);
            }
        }
    }
    set_cells(deployment, SERVICE, {{"trace_permille", 10}});
    set_data_centre(deployment, "north", false);
    set_data_centre(deployment, "west", false);
    return {{"path_added_p50_ms", median(added)},
            {"path_traces", static_cast<double>(added.size())}};
}

}  // namespace

const std::vector<Experiment>& experiments() {
    static const std::vector<Experiment> all = {
        {"path", "what gateway and relay add to the slowest target within a data centre", path},
        {"stragglers", "1 in 100 sub-queries takes ten times as long; baseline without hedges",
         stragglers},
        {"extra_load", "1 in 10 sub-queries takes thirty times as long; baseline without budget",
         extra_load},
        {"overload", "half to twice the capacity", overload},
        {"cold_start", "a third of the targets restarts cold under load", cold_start},
        {"data_centre", "a data centre leaves and returns under load", data_centre_leaves},
        {"platform_down", "the platform is down for longer than a lease", platform_down}};
    return all;
}

}  // namespace ebonymount
