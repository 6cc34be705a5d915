#include "node/settings.h"

#include <Poco/Net/SocketAddress.h>

#include <fstream>
#include <sstream>

#include "base/check.h"
#include "io/documents.h"
#include "io/json_reader.h"

namespace ebonymount {
namespace {

std::string read_address(JsonReader& reader, const std::string& name) {
    const std::string address = reader.text(name);
    try {
        const Poco::Net::SocketAddress parsed(address);
        return address;
    } catch (const Poco::Exception&) {
        throw UserError(reader.path_of(name) + " is \"" + address +
                        "\", allowed is an IP address and a port such as 127.0.0.1:8080");
    }
}

std::string read_name(JsonReader& reader, const std::string& name) {
    const std::string value = reader.text(name);
    const bool allowed =
        !value.empty() && value.find_first_of("#/ ") == std::string::npos && value.size() <= 64;
    user_check(allowed) << reader.path_of(name) << " is \"" << value
                        << "\", allowed is 1 to 64 characters without #, / and space";
    return value;
}

Duration read_ms(JsonReader& reader, const std::string& name, std::int64_t minimum,
                 std::int64_t maximum, Duration fallback) {
    return from_ms(reader.integer_or(name, minimum, maximum, fallback.count() / 1000));
}

void read_log(const Json& document, NodeSettings& settings) {
    JsonReader reader(document, "log");
    const Result<LogLevel> level = log_level_from(reader.text_or("level", "info"));
    user_check(has_value(level)) << "log.level: " << describe(error_of(level));
    settings.log_level = value_of(level);
    const std::string form = reader.text_or("form", "text");
    user_check(form == "text" || form == "json")
        << "log.form is \"" << form << "\", allowed is text or json";
    settings.log_format = form == "json" ? LogFormat::json : LogFormat::text;
    reader.finish();
}

void read_routes(const Json& document, NodeSettings& settings) {
    JsonReader reader(document, "peer_routes");
    for (const auto& [host, address] : document.items()) {
        settings.peer_routes[host] = read_address(reader, host);
    }
}

NodeSettings read_document(const Json& document) {
    JsonReader reader(document, "");
    NodeSettings settings;
    settings.host = read_name(reader, "host");
    settings.data_centre = read_name(reader, "data_centre");
    settings.caller_address = read_address(reader, "caller_address");
    settings.admin_address = read_address(reader, "admin_address");
    settings.peer_address = read_address(reader, "peer_address");
    settings.platform_address = read_address(reader, "platform_address");
    if (const Json* log = reader.find("log")) {
        read_log(*log, settings);
    }
    if (const Json* routes = reader.find("peer_routes")) {
        read_routes(*routes, settings);
    }
    settings.lease_duration = read_ms(reader, "lease_ms", 500, 600000, settings.lease_duration);
    settings.gossip_interval =
        read_ms(reader, "exchange_interval_ms", 50, 60000, settings.gossip_interval);
    settings.gossip_fanout = reader.integer_or("exchange_fanout", 1, 16, settings.gossip_fanout);
    settings.platform_timeout =
        read_ms(reader, "platform_timeout_ms", 50, 60000, settings.platform_timeout);
    settings.host_list_interval =
        read_ms(reader, "host_list_interval_ms", 100, 60000, settings.host_list_interval);
    settings.watch_wait = read_ms(reader, "watch_wait_ms", 50, 60000, settings.watch_wait);
    settings.isolation_limit =
        read_ms(reader, "isolation_limit_ms", 500, 60000, settings.isolation_limit);
    settings.drain = read_ms(reader, "drain_ms", 0, 60000, settings.drain);
    settings.caller_threads = reader.integer_or("caller_threads", 1, 1024, settings.caller_threads);
    reader.finish();
    return settings;
}

}  // namespace

Result<NodeSettings> settings_from(const std::string& text, const std::string& file) {
    const Result<Json> document = parse_json(text, file);
    if (!has_value(document)) {
        return error_of(document);
    }
    try {
        return read_document(value_of(document));
    } catch (const UserError& error) {
        return Error{ErrorCode::invalid_input, file + ": " + error.what(), file};
    }
}

Result<NodeSettings> read_settings(const std::string& file) {
    std::ifstream input(file);
    if (!input) {
        return Error{ErrorCode::not_found, "cannot read the settings file", file};
    }
    std::ostringstream text;
    text << input.rdbuf();
    return settings_from(text.str(), file);
}

}  // namespace ebonymount
