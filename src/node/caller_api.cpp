#include "node/caller_api.h"

#include <charconv>

#include "io/documents.h"
#include "io/http_status.h"
#include "io/json_text.h"

namespace ebonymount {
namespace {

constexpr std::int64_t MAX_TIMEOUT_MS = 60000;
constexpr std::size_t MAX_KEY_BYTES = 128;

const std::string SERVICES_PREFIX = "/v1/services/";

Error bad_input(const std::string& message, const std::string& offender) {
    return {ErrorCode::invalid_input, message, offender};
}

Result<std::int64_t> timeout_ms_from(const std::string& text) {
    std::int64_t timeout_ms = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), timeout_ms);
    const bool is_integer = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!is_integer || timeout_ms < 1 || timeout_ms > MAX_TIMEOUT_MS) {
        return bad_input(
            "X-Timeout-Ms is not a whole number from 1 to " + std::to_string(MAX_TIMEOUT_MS), text);
    }
    return timeout_ms;
}

int status_for(ErrorCode code) {
    switch (code) {
        case ErrorCode::invalid_input:
        case ErrorCode::protocol:
            return http::BAD_REQUEST;
        case ErrorCode::not_found:
            return http::NOT_FOUND;
        case ErrorCode::conflict:
            return http::CONFLICT;
        case ErrorCode::timeout:
            return http::TIMEOUT;
        case ErrorCode::unavailable:
        case ErrorCode::refused:
            return http::UNAVAILABLE;
    }
    return http::UNAVAILABLE;
}

int status_for(const GatherOutcome& outcome) {
    switch (outcome.status) {
        case GatherStatus::complete:
        case GatherStatus::partial:
            return http::OK;
        case GatherStatus::rejected:
            return http::BAD_REQUEST;
        case GatherStatus::quarantined:
            return http::UNPROCESSABLE;
        case GatherStatus::unknown_service:
            return http::NOT_FOUND;
        case GatherStatus::no_answer:
            break;
    }
    return outcome.verdict == Verdict::not_run ? http::UNAVAILABLE : http::TIMEOUT;
}

/// A target's result as JSON. A result that is not valid JSON, or nested too deeply, is returned as
/// a string.
Json result_document(const std::string& result) {
    Result<Json> parsed = parse_json_text(result);
    return has_value(parsed) ? std::get<Json>(std::move(parsed)) : Json(result);
}

Json coverage_document(const Coverage& coverage) {
    return {{"shards_answered", coverage.shards_answered},
            {"shards_total", coverage.shards_total},
            {"documents_answered", coverage.documents_answered},
            {"documents_total", coverage.documents_total},
            {"permille", permille(coverage)}};
}

Json response_document(const GatewayResponse& response) {
    Json document = {{"request", response.request_id},
                     {"end", name_of(response.outcome.status)},
                     {"verdict", name_of(response.outcome.verdict)}};
    if (!response.key.empty()) {
        document["key"] = response.key;
    }
    if (response.stored_result.has_value()) {
        document["repeated"] = true;
        document["results"] =
            Json::array({{{"shard", ""}, {"result", result_document(*response.stored_result)}}});
        return document;
    }
    document["snapshot"] = response.outcome.snapshot;
    document["coverage"] = coverage_document(response.outcome.coverage);
    document["results"] = Json::array();
    for (std::size_t index = 0; index < response.outcome.results.size(); ++index) {
        if (response.outcome.results[index].has_value()) {
            document["results"].push_back(
                {{"shard", response.shards.at(index)},
                 {"result", result_document(*response.outcome.results[index])}});
        }
    }
    return document;
}

}  // namespace

HandlerResponse CallerApi::handle(const HandlerRequest& call) {
    if (call.path == "/live") {
        return make_response(http::OK, "{\"live\":true}");
    }
    if (call.path == "/ready") {
        const bool ready = m_state.is_ready(monotonic_now());
        return make_response(ready ? http::OK : http::UNAVAILABLE,
                             std::string("{\"ready\":") + (ready ? "true}" : "false}"));
    }
    if (call.path == "/metrics") {
        HandlerResponse http_response = make_response(http::OK, m_state.metrics().text());
        http_response.content_type = "text/plain";
        return http_response;
    }
    return serve(call);
}

HandlerResponse CallerApi::serve(const HandlerRequest& call) {
    const Result<GatewayRequest> request = gateway_request_from(call);
    if (!has_value(request)) {
        ++m_state.metrics().counter("ebonymount_gateway_bad_requests_total");
        const Error& error = error_of(request);
        return error_response(status_for(error.code), error);
    }
    return http_response_from(m_gateway.serve(value_of(request)));
}

Result<GatewayRequest> gateway_request_from(const HandlerRequest& call) {
    if (call.path.rfind(SERVICES_PREFIX, 0) != 0) {
        return Error{ErrorCode::not_found, "unknown path", call.path};
    }
    const std::string rest = call.path.substr(SERVICES_PREFIX.size());
    const std::size_t slash = rest.find('/');
    const std::string operation = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (operation != "query" && operation != "submit") {
        return Error{ErrorCode::not_found, "unknown path; a service path ends in /query or /submit",
                     call.path};
    }
    if (call.method != "POST") {
        return bad_input("the method must be POST", call.method);
    }
    GatewayRequest request;
    request.service = rest.substr(0, slash);
    request.idempotent = operation == "query";
    request.body = call.body;
    request.wants_trace = call.header("X-Trace") == "1";
    if (!call.body.empty() && !Json::accept(call.body)) {
        return bad_input("the body is not JSON", call.body.substr(0, 40));
    }
    const std::string timeout = call.header("X-Timeout-Ms");
    if (!timeout.empty()) {
        const Result<std::int64_t> parsed = timeout_ms_from(timeout);
        if (!has_value(parsed)) {
            return error_of(parsed);
        }
        request.time_limit = from_ms(value_of(parsed));
    }
    const std::string key = call.header("Idempotency-Key");
    if (key.size() > MAX_KEY_BYTES) {
        return bad_input(
            "Idempotency-Key is longer than " + std::to_string(MAX_KEY_BYTES) + " bytes",
            key.substr(0, 40));
    }
    request.key = request.idempotent ? "" : key;
    return request;
}

HandlerResponse http_response_from(const GatewayResponse& response) {
    HandlerResponse http_response;
    Json document;
    if (response.error.has_value()) {
        http_response.status = status_for(response.error->code);
        document = {{"request", response.request_id},
                    {"error", name_of(response.error->code)},
                    {"message", response.error->message},
                    {"offender", response.error->offender},
                    {"verdict", name_of(response.outcome.verdict)}};
    } else {
        http_response.status = status_for(response.outcome);
        document = response_document(response);
    }
    http_response.body = document.dump(-1, ' ', false, Json::error_handler_t::replace);
    return http_response;
}

}  // namespace ebonymount
