#include "admin/admin_api.h"

#include "io/http_status.h"

namespace ebonymount {
namespace {

constexpr std::size_t MOST_TRACES = 50;

const std::string PREFIX = "/admin/v1";

int status_for(ErrorCode code) {
    switch (code) {
        case ErrorCode::not_found:
            return http::NOT_FOUND;
        case ErrorCode::conflict:
            return http::CONFLICT;
        case ErrorCode::unavailable:
        case ErrorCode::timeout:
            return http::UNAVAILABLE;
        default:
            return http::BAD_REQUEST;
    }
}

HandlerResponse http_response_from(const Json& document) {
    HandlerResponse reply;
    reply.body = document.dump(2, ' ', false, Json::error_handler_t::replace);
    return reply;
}

HandlerResponse http_response_from(const Result<Json>& result) {
    if (has_value(result)) {
        return http_response_from(value_of(result));
    }
    return error_response(status_for(error_of(result).code), error_of(result));
}

/// Splits "/hosts/h1/out" into its three parts; empty when there are not three.
std::vector<std::string> parts_of(const std::string& path) {
    std::vector<std::string> parts;
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t slash = std::min(path.find('/', start), path.size());
        parts.push_back(path.substr(start, slash - start));
        start = slash + 1;
    }
    return parts;
}

}  // namespace

HandlerResponse AdminApi::handle(const HandlerRequest& call) {
    if (call.path.rfind(PREFIX, 0) != 0) {
        return error_response(http::NOT_FOUND, {ErrorCode::not_found, "unknown path", call.path});
    }
    return call.method == "GET" ? handle_query(call) : handle_command(call);
}

HandlerResponse AdminApi::handle_query(const HandlerRequest& call) {
    const std::string path = call.path.substr(PREFIX.size());
    if (path == "/table") {
        return http_response_from(m_queries.table());
    }
    if (path == "/draft") {
        return http_response_from(m_queries.draft());
    }
    if (path == "/history") {
        return http_response_from(m_queries.history());
    }
    if (path == "/status") {
        return http_response_from(m_queries.status());
    }
    if (path == "/traces") {
        return http_response_from(m_queries.traces(MOST_TRACES));
    }
    return error_response(http::NOT_FOUND, {ErrorCode::not_found, "unknown query", call.path});
}

HandlerResponse AdminApi::handle_command(const HandlerRequest& call) {
    const std::string path = call.path.substr(PREFIX.size());
    if (path == "/draft" && call.method == "PUT") {
        return http_response_from(m_commands.put_draft(call.body));
    }
    if (path == "/accept" && call.method == "POST") {
        return http_response_from(m_commands.accept());
    }
    const std::vector<std::string> parts = parts_of(path);
    const bool is_known = parts.size() == 3 && call.method == "POST" &&
                          (parts[0] == "data-centres" || parts[0] == "hosts") &&
                          (parts[2] == "out" || parts[2] == "in");
    if (!is_known) {
        return error_response(http::NOT_FOUND,
                              {ErrorCode::not_found, "unknown command", call.path});
    }
    const bool is_data_centre = parts[0] == "data-centres";
    return http_response_from(parts[2] == "out"
                                  ? m_commands.take_out_of_service(is_data_centre, parts[1])
                                  : m_commands.return_to_service(is_data_centre, parts[1]));
}

}  // namespace ebonymount
