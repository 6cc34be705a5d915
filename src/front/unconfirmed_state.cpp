#include "front/unconfirmed_state.h"

#include <nlohmann/json.hpp>

#include "io/json_text.h"
#include "policy/store_return.h"

namespace ebonymount {
namespace {

using Json = nlohmann::json;

constexpr const char* NOT_YET = "not_yet";

Json json_of(const std::map<std::string, Duration>& times) {
    Json object = Json::object();
    for (const auto& [name, left] : times) {
        object[name] = left.count();
    }
    return object;
}

/// Empty for anything but an object, and if a time is longer than nodes hold on to what the store
/// has lost.
std::optional<std::map<std::string, Duration>> times_from(const Json& object) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    std::map<std::string, Duration> times;
    for (const auto& [name, left] : object.items()) {
        const Duration time(left.get<std::int64_t>());
        if (time < Duration::zero() || time > OPERATOR_REWRITE_TIME) {
            return std::nullopt;
        }
        times[name] = time;
    }
    return times;
}

}  // namespace

std::string encode(const StateAnswer& answer) {
    switch (answer.status) {
        case StateAnswer::Status::unknown:
            return "";
        case StateAnswer::Status::not_yet:
            return NOT_YET;
        case StateAnswer::Status::complete:
            break;
    }
    return Json{{"targets_us", json_of(answer.state.targets)},
                {"data_centres_us", json_of(answer.state.data_centres)},
                {"config", answer.state.config},
                {"config_era", answer.state.config_era}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

StateAnswer decode_state_answer(const std::string& text) {
    if (text == NOT_YET) {
        return {StateAnswer::Status::not_yet, {}};
    }
    const Result<Json> parsed = parse_json_text(text);
    if (!has_value(parsed)) {
        return {};
    }
    try {
        const Json& message = value_of(parsed);
        const std::optional<std::map<std::string, Duration>> targets =
            times_from(message.at("targets_us"));
        const std::optional<std::map<std::string, Duration>> data_centres =
            times_from(message.at("data_centres_us"));
        const std::int64_t config_era = message.at("config_era").get<std::int64_t>();
        if (!targets.has_value() || !data_centres.has_value() || !is_valid_era(config_era)) {
            return {};
        }
        return {StateAnswer::Status::complete,
                {*targets, *data_centres, message.at("config").get<std::string>(), config_era}};
    } catch (const Json::exception&) {
        return {};
    }
}

std::string encode_state_request(std::int64_t era) {
    return Json{{"era", era}}.dump();
}

std::optional<std::int64_t> decode_state_request(const std::string& text) {
    const Result<Json> parsed = parse_json_text(text);
    if (!has_value(parsed)) {
        return std::nullopt;
    }
    try {
        const std::int64_t era = value_of(parsed).at("era").get<std::int64_t>();
        return is_valid_era(era) ? std::optional(era) : std::nullopt;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace ebonymount
