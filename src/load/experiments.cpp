#include "load/experiments.h"

#include <algorithm>
#include <optional>
#include <thread>

namespace ebonymount {
namespace {

const std::string SERVICE = "catalogue";

/// Request rate well below the deployment's capacity, also on a small machine.
constexpr double LOW_RATE_PER_S = 80.0;

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[values.size() / 2];
}

std::vector<LoadSample> run_load(const RunningDeployment& deployment, double rate_per_s,
                                 std::int64_t count) {
    LoadOptions options;
    options.callers = deployment.callers;
    options.service = SERVICE;
    options.rate_per_s = rate_per_s;
    options.count = count;
    options.threads = 96;
    return run_open_loop(options);
}

double p99_ms(const RunningDeployment& deployment, std::int64_t count) {
    return summarize(run_load(deployment, LOW_RATE_PER_S, count)).p99_ms;
}

/// Sends four seconds of load, which warms up all targets of the service.
void warm_up(const RunningDeployment& deployment) {
    run_load(deployment, LOW_RATE_PER_S, static_cast<std::int64_t>(LOW_RATE_PER_S) * 4);
}

void sleep_ms(std::int64_t milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Runs load in the background while `action` changes the deployment.
std::vector<LoadSample> run_load_during(const RunningDeployment& deployment, double rate_per_s,
                                        std::int64_t count, const std::function<void()>& action) {
    std::vector<LoadSample> samples;
    std::thread load_thread([&] { samples = run_load(deployment, rate_per_s, count); });
    action();
    load_thread.join();
    return samples;
}

Figures stragglers(const RunningDeployment& deployment, const ExperimentSize& size) {
    std::vector<double> over_clean;
    std::vector<double> over_baseline;
    warm_up(deployment);
    for (int round = 0; round < size.rounds; ++round) {
        control_targets(deployment, SERVICE, "action=stragglers&share=0&factor=1");
        const double clean_ms = p99_ms(deployment, size.requests);
        control_targets(deployment, SERVICE, "action=stragglers&share=0.01&factor=10");
        const double hedged_ms = p99_ms(deployment, size.requests);
        set_cells(deployment, SERVICE, {{"hedge_quantile_permille", 1000}});
        const double unhedged_ms = p99_ms(deployment, size.requests);
        set_cells(deployment, SERVICE, {{"hedge_quantile_permille", 960}});
        over_clean.push_back(hedged_ms / clean_ms);
        over_baseline.push_back(hedged_ms / unhedged_ms);
    }
    control_targets(deployment, SERVICE, "action=stragglers&share=0&factor=1");
    return {{"straggler_p99_over_clean", median(over_clean)},
            {"straggler_p99_over_baseline", median(over_baseline)}};
}

/// Hedges and retries divided by planned sub-queries, under load.
double extra_sub_query_ratio(const RunningDeployment& deployment, std::int64_t count) {
    const ExtraSubQueryTotals before = extra_sub_query_totals(deployment, SERVICE);
    run_load(deployment, LOW_RATE_PER_S, count);
    const ExtraSubQueryTotals after = extra_sub_query_totals(deployment, SERVICE);
    const double planned = static_cast<double>(after.planned - before.planned);
    return planned == 0.0 ? 0.0 : static_cast<double>(after.extra - before.extra) / planned;
}

Figures extra_load(const RunningDeployment& deployment, const ExperimentSize& size) {
    std::vector<double> limited_ratios;
    std::vector<double> unlimited_ratios;
    for (int round = 0; round < size.rounds; ++round) {
        control_targets(deployment, SERVICE, "action=stragglers&share=0.1&factor=30");
        limited_ratios.push_back(extra_sub_query_ratio(deployment, size.requests));
        set_cells(deployment, SERVICE, {{"extra_load_permille", 1000}});
        unlimited_ratios.push_back(extra_sub_query_ratio(deployment, size.requests));
        set_cells(deployment, SERVICE, {{"extra_load_permille", 50}});
        control_targets(deployment, SERVICE, "action=stragglers&share=0&factor=1");
    }
    return {{"extra_load", median(limited_ratios)},
            {"extra_load_baseline", median(unlimited_ratios)}};
}

/// Number of responses with full coverage, divided by the intended length of the run in seconds.
double goodput(const RunningDeployment& deployment, double rate_per_s, std::int64_t count) {
    const LoadSummary summary = summarize(run_load(deployment, rate_per_s, count));
    return static_cast<double>(summary.whole) / (static_cast<double>(count) / rate_per_s);
}

Figures overload(const RunningDeployment& deployment, const ExperimentSize& size) {
    // With a service time of 40 ms, a target with two slots serves 50 requests/s, and the three
    // replicas of a shard together serve 150.
    constexpr double CAPACITY_PER_S = 150.0;
    control_targets(deployment, SERVICE, "action=service&ms=40");
    set_cells(deployment, SERVICE, {{"soft_deadline_ms", 400}, {"hard_deadline_ms", 400}});
    run_load(deployment, CAPACITY_PER_S * 0.5, size.requests);
    const std::int64_t before = target_totals(deployment, SERVICE).overloads;
    std::vector<double> ratios;
    for (int round = 0; round < size.rounds; ++round) {
        const double at_half_capacity = goodput(deployment, CAPACITY_PER_S * 0.5, size.requests);
        const double at_capacity = goodput(deployment, CAPACITY_PER_S, size.requests * 2);
        const double at_double_capacity =
            goodput(deployment, CAPACITY_PER_S * 2.0, size.requests * 4);
        ratios.push_back(at_double_capacity / std::max(at_half_capacity, at_capacity));
    }
    const std::int64_t after = target_totals(deployment, SERVICE).overloads;
    control_targets(deployment, SERVICE, "action=service&ms=4");
    set_cells(deployment, SERVICE, {{"soft_deadline_ms", 45}, {"hard_deadline_ms", 250}});
    return {{"goodput_at_2x", median(ratios)}, {"overloads", static_cast<double>(after - before)}};
}

Figures cold_start(const RunningDeployment& deployment, const ExperimentSize& size) {
    warm_up(deployment);
    const std::int64_t before = target_totals(deployment, SERVICE).cold_overloads;
    std::vector<double> incomplete_shares;
    for (int round = 0; round < size.rounds; ++round) {
        const std::vector<LoadSample> samples =
            run_load_during(deployment, LOW_RATE_PER_S, size.requests, [&deployment] {
                sleep_ms(500);
                control_targets(deployment, "-east", "action=restart");
            });
        const LoadSummary summary = summarize(samples);
        incomplete_shares.push_back(static_cast<double>(summary.count - summary.whole) /
                                    static_cast<double>(summary.count));
    }
    const std::int64_t after = target_totals(deployment, SERVICE).cold_overloads;
    return {{"cold_overloads", static_cast<double>(after - before)},
            {"cold_not_whole_share", median(incomplete_shares)}};
}

Figures data_centre_out_and_back(const RunningDeployment& deployment, const ExperimentSize& size) {
    warm_up(deployment);
    const double steady_p99_ms = p99_ms(deployment, size.requests);
    std::int64_t out_at_ms = 0;
    const std::vector<LoadSample> samples_out =
        run_load_during(deployment, LOW_RATE_PER_S, static_cast<std::int64_t>(LOW_RATE_PER_S) * 8,
                        [&deployment, &out_at_ms] {
                            sleep_ms(1000);
                            set_data_centre_out_of_service(deployment, "east", true);
                            out_at_ms = wall_clock_ms();
                        });
    const std::int64_t last_start_ms = target_totals(deployment, SERVICE + "-").last_start_ms;
    const TargetTotals east = target_totals(deployment, "-east");
    const std::vector<LoadSample> samples_back = run_load_during(
        deployment, LOW_RATE_PER_S, size.requests,
        [&deployment] { set_data_centre_out_of_service(deployment, "east", false); });
    const LoadSummary summary_out = summarize(samples_out);
    const LoadSummary summary_back = summarize(samples_back);
    const std::int64_t last_work_after_ms =
        std::max<std::int64_t>(0, east.last_start_ms - out_at_ms);
    return {{"dc_failed_requests", static_cast<double>(summary_out.failed + summary_out.refused +
                                                       summary_back.failed + summary_back.refused)},
            {"dc_late_work", last_work_after_ms > 5000 ? 1.0 : 0.0},
            {"dc_last_work_after_ms", static_cast<double>(last_work_after_ms)},
            {"dc_return_p99_over_steady", summary_back.p99_ms / steady_p99_ms},
            {"dc_load_went_on", last_start_ms > out_at_ms ? 1.0 : 0.0}};
}

Figures platform_down(const RunningDeployment& deployment, const ExperimentSize& size) {
    warm_up(deployment);
    std::vector<double> ratios;
    for (int round = 0; round < size.rounds; ++round) {
        const double steady_goodput = goodput(deployment, LOW_RATE_PER_S, size.requests);
        set_platform_fault(deployment, "down=1");
        // Longer than a lease, so that lease holders continue at half of each limit.
        sleep_ms(8000);
        ratios.push_back(goodput(deployment, LOW_RATE_PER_S, size.requests) / steady_goodput);
        set_platform_fault(deployment, "down=0");
        sleep_ms(4000);
    }
    return {{"outage_goodput_over_steady", median(ratios)}};
}

/// Duration of a traced request minus that of its slowest target; nothing for a request that did
/// not end "complete".
std::optional<double> latency_beyond_slowest_target_ms(const Json& trace) {
    if (trace.at("end") != "complete") {
        return std::nullopt;
    }
    std::int64_t total_us = 0;
    std::int64_t slowest_us = 0;
    for (const Json& span : trace.at("spans")) {
        const std::int64_t duration_us = span.at("duration_us").get<std::int64_t>();
        if (span.at("name") == "gateway") {
            total_us = duration_us;
        } else if (span.at("name") == "target") {
            slowest_us = std::max(slowest_us, duration_us);
        }
    }
    return static_cast<double>(total_us - slowest_us) / 1000.0;
}

/// Latency that gateway and relay add within one data centre. The other data centres are out of
/// service during the measurement.
Figures path(const RunningDeployment& deployment, const ExperimentSize& size) {
    constexpr double RATE_PER_S = 200.0;
    set_data_centre_out_of_service(deployment, "north", true);
    set_data_centre_out_of_service(deployment, "west", true);
    RunningDeployment single_data_centre = deployment;
    single_data_centre.callers = {deployment.callers.at(0), deployment.callers.at(1)};
    run_load(single_data_centre, RATE_PER_S, size.requests * 2);
    set_cells(deployment, SERVICE, {{"trace_permille", 1000}});
    run_load(single_data_centre, RATE_PER_S, size.requests * 2);
    std::vector<double> added_ms;
    for (std::size_t node = 0; node < 2; ++node) {
        for (const Json& trace : traces_of(deployment, node)) {
            if (const std::optional<double> latency_ms = latency_beyond_slowest_target_ms(trace)) {
                added_ms.push_back(*latency_ms);
            }
        }
    }
    set_cells(deployment, SERVICE, {{"trace_permille", 10}});
    set_data_centre_out_of_service(deployment, "north", false);
    set_data_centre_out_of_service(deployment, "west", false);
    return {{"path_added_p50_ms", median(added_ms)},
            {"path_traces", static_cast<double>(added_ms.size())}};
}

}  // namespace

const std::vector<Experiment>& experiments() {
    static const std::vector<Experiment> all = {
        {"path", "latency that gateway and relay add to the slowest target in one data centre",
         path},
        {"stragglers", "1 in 100 sub-queries takes ten times as long; baseline without hedges",
         stragglers},
        {"extra_load",
         "1 in 10 sub-queries takes thirty times as long; baseline without retry budget",
         extra_load},
        {"overload", "goodput at half, full and twice the capacity", overload},
        {"cold_start", "a third of the targets restart cold under load", cold_start},
        {"data_centre", "a data centre is taken out of service and returned under load",
         data_centre_out_and_back},
        {"platform_down", "the platform is down for longer than a lease", platform_down}};
    return all;
}

}  // namespace ebonymount
