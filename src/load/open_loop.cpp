#include "load/open_loop.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "io/http_client.h"
#include "io/http_status.h"

namespace ebonymount {
namespace {

/// Connections of one worker, one per caller address.
using Connections = std::map<std::string, HttpConnection>;

HttpRequest make_request(const LoadOptions& options, std::int64_t number) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/services/" + options.service + (options.submit ? "/submit" : "/query");
    request.body = "{\"n\":" + std::to_string(number) + "}";
    if (options.submit) {
        request.headers["Idempotency-Key"] = options.key_prefix + "-" + std::to_string(number);
    }
    return request;
}

LoadSample read_sample(const HttpResponse& response) {
    LoadSample sample;
    sample.status = response.stage == ExchangeStage::answered ? response.status : 0;
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object()) {
        sample.end = body.value("end", "");
        sample.verdict = body.value("verdict", "");
        sample.snapshot = body.value("snapshot", "");
        if (body.contains("coverage")) {
            sample.coverage_permille = body.at("coverage").value("permille", 0);
        }
    }
    return sample;
}

LoadSample send(Connections& connections, const LoadOptions& options, std::int64_t number) {
    const std::string& address =
        options.callers.at(static_cast<std::size_t>(number) % options.callers.size());
    HttpConnection& connection =
        connections.try_emplace(address, address, options.timeout).first->second;
    if (connection.ensure_connected() == ConnectResult::failed) {
        return {};
    }
    return read_sample(connection.exchange(make_request(options, number), options.timeout));
}

}  // namespace

std::vector<LoadSample> run_open_loop(const LoadOptions& options) {
    std::vector<LoadSample> samples(static_cast<std::size_t>(options.count));
    std::atomic<std::int64_t> next{0};
    const Time start = monotonic_now() + from_ms(10);
    const double spacing_us = 1e6 / options.rate_per_s;
    const auto run_worker = [&] {
        Connections connections;
        for (std::int64_t number = next++; number < options.count; number = next++) {
            const double offset_us = spacing_us * static_cast<double>(number);
            const Time intended = start + Duration(static_cast<std::int64_t>(offset_us));
            std::this_thread::sleep_until(intended);
            LoadSample sample = send(connections, options, number);
            sample.latency = monotonic_now() - intended;
            samples[static_cast<std::size_t>(number)] = sample;
        }
    };
    std::vector<std::thread> workers;
    workers.reserve(static_cast<std::size_t>(options.threads));
    for (int worker = 0; worker < options.threads; ++worker) {
        workers.emplace_back(run_worker);
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    return samples;
}

LoadSummary summarize(const std::vector<LoadSample>& samples) {
    LoadSummary summary;
    summary.count = static_cast<std::int64_t>(samples.size());
    summary.min_coverage = samples.empty() ? 0.0 : 1.0;
    for (const LoadSample& sample : samples) {
        const double coverage = static_cast<double>(sample.coverage_permille) / 1000.0;
        summary.mean_coverage += coverage / static_cast<double>(samples.size());
        summary.min_coverage = std::min(summary.min_coverage, coverage);
        summary.max_ms = std::max(summary.max_ms, to_ms(sample.latency));
        if (sample.status == http::OK) {
            ++(sample.coverage_permille == 1000 ? summary.whole : summary.partial);
        } else if (sample.status == http::UNAVAILABLE && sample.verdict == "not_run") {
            ++summary.refused;
        } else {
            ++summary.failed;
        }
    }
    summary.p50_ms = latency_quantile_ms(samples, 0.5);
    summary.p99_ms = latency_quantile_ms(samples, 0.99);
    return summary;
}

std::string describe(const LoadSummary& summary) {
    std::array<char, 256> line{};
    std::snprintf(line.data(), line.size(),
                  "count %lld whole %lld partial %lld refused %lld failed %lld p50 %.1f ms "
                  "p99 %.1f ms coverage %.4f least %.3f",
                  static_cast<long long>(summary.count), static_cast<long long>(summary.whole),
                  static_cast<long long>(summary.partial), static_cast<long long>(summary.refused),
                  static_cast<long long>(summary.failed), summary.p50_ms, summary.p99_ms,
                  summary.mean_coverage, summary.min_coverage);
    return line.data();
}

double latency_quantile_ms(std::vector<LoadSample> samples, double quantile) {
    if (samples.empty()) {
        return 0.0;
    }
    const auto faster = [](const LoadSample& left, const LoadSample& right) {
        return left.latency < right.latency;
    };
    std::sort(samples.begin(), samples.end(), faster);
    const double position = quantile * static_cast<double>(samples.size());
    const std::size_t index = static_cast<std::size_t>(std::ceil(position)) - 1;
    return to_ms(samples.at(std::min(index, samples.size() - 1)).latency);
}

}  // namespace ebonymount
