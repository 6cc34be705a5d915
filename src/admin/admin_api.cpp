#include "admin/admin_api.h"

#include "io/http_status.h"

namespace ebonymount {
namespace {

constexpr std::size_t MAX_TRACES = 50;

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

HttpReply reply_from(const Json& document) {
    HttpReply response;
    response.body = document.dump(2, ' ', false, Json::error_handler_t::replace);
    return response;
}

HttpReply reply_from(const Result<Json>& result) {
    if (has_value(result)) {
        return reply_from(value_of(result));
    }
    return error_reply(status_for(error_of(result).code), error_of(result));
}

/// Splits a path at its slashes: "/hosts/h1/out" gives "hosts", "h1" and "out".
std::vector<std::string> split_path(const std::string& path) {
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

HttpReply AdminApi::handle(const HttpCall& call) {
    if (call.path.rfind(PREFIX, 0) != 0) {
        return error_reply(http::NOT_FOUND, {ErrorCode::not_found, "unknown path", call.path});
    }
    return call.method == "GET" ? handle_query(call) : handle_command(call);
}

HttpReply AdminApi::handle_query(const HttpCall& call) {
    const std::string path = call.path.substr(PREFIX.size());
    if (path == "/table") {
        return reply_from(m_queries.table());
    }
    if (path == "/draft") {
        return reply_from(m_queries.draft());
    }
    if (path == "/history") {
        return reply_from(m_queries.history());
    }
    if (path == "/status") {
        return reply_from(m_queries.status());
    }
    if (path == "/traces") {
        return reply_from(m_queries.traces(MAX_TRACES));
    }
    return error_reply(http::NOT_FOUND, {ErrorCode::not_found, "unknown query", call.path});
}

HttpReply AdminApi::handle_command(const HttpCall& call) {
    const std::string path = call.path.substr(PREFIX.size());
    if (path == "/draft" && call.method == "PUT") {
        return reply_from(m_commands.put_draft(call.body));
    }
    if (path == "/accept" && call.method == "POST") {
        return reply_from(m_commands.accept());
    }
    const std::vector<std::string> parts = split_path(path);
    const bool is_known = parts.size() == 3 && call.method == "POST" &&
                          (parts[0] == "data-centres" || parts[0] == "hosts") &&
                          (parts[2] == "out" || parts[2] == "in");
    if (!is_known) {
        return error_reply(http::NOT_FOUND, {ErrorCode::not_found, "unknown command", call.path});
    }
    const bool is_data_centre = parts[0] == "data-centres";
    return reply_from(parts[2] == "out" ? m_commands.take_out(is_data_centre, parts[1])
                                        : m_commands.bring_back(is_data_centre, parts[1]));
}

}  // namespace ebonymount
