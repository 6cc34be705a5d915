#include "admin/ctl.h"

#include <fstream>
#include <functional>
#include <sstream>

#include "admin/ctl_print.h"
#include "admin/table_csv.h"
#include "io/http_client.h"
#include "io/http_status.h"
#include "node/settings.h"

namespace ebonymount {
namespace {

/// Timeout of each request to a node.
constexpr Duration TIMEOUT = from_ms(10000);

/// Options and output streams of one invocation.
struct Session {
    const CtlOptions& options;
    std::ostream& output;
    std::ostream& errors;
};

using Printer = std::function<void(const Json&, std::ostream&)>;

CtlExit fail(const Session& session, CtlExit code, const std::string& message) {
    session.errors << "ebonymountctl: " << message << "\n";
    return code;
}

Result<std::string> read_file(const std::string& file) {
    std::ifstream input(file);
    if (!input) {
        return Error{ErrorCode::not_found, "cannot read the file", file};
    }
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

/// Sends a request and prints the response, or the error that it carries.
CtlExit send(const Session& session, const std::string& address, const HttpRequest& request,
             const Printer& print) {
    const HttpResponse response = exchange_once(address, request, TIMEOUT);
    if (response.stage != ExchangeStage::answered) {
        return fail(session, CtlExit::unreachable,
                    "no response from " + address + ": " + response.error);
    }
    const Json document = Json::parse(response.body, nullptr, false);
    if (document.is_discarded()) {
        return fail(session, CtlExit::refused, "the response is not JSON");
    }
    if (session.options.json) {
        session.output << document.dump(2) << "\n";
    } else if (response.status == http::OK) {
        print(document, session.output);
    } else {
        session.errors << "ebonymountctl: refused (" << document.value("error", "")
                       << "): " << document.value("message", "") << " \""
                       << document.value("offender", "") << "\"\n";
    }
    return response.status == http::OK ? CtlExit::ok : CtlExit::refused;
}

CtlExit get(const Session& session, const std::string& path, const Printer& print) {
    return send(session, session.options.admin_address, {"GET", "/admin/v1" + path, {}, ""}, print);
}

CtlExit post(const Session& session, const std::string& path) {
    const Printer print = [](const Json& document, std::ostream& output) {
        if (document.value("stored", false)) {
            output << "accepted as generation " << document.value("generation", 0) << "\n";
        } else {
            output << document.value("message", "") << "\n";
        }
    };
    return send(session, session.options.admin_address, {"POST", "/admin/v1" + path, {}, ""},
                print);
}

CtlExit put_draft(const Session& session, const Json& configuration) {
    const Printer print = [](const Json& document, std::ostream& output) {
        output << "draft based on generation " << document.value("base_generation", 0) << "\n";
        print_changes(document.at("changes"), output);
    };
    return send(session, session.options.admin_address,
                {"PUT", "/admin/v1/draft", {}, configuration.dump()}, print);
}

/// Fetches the configuration in effect at the node, as the base of a draft.
Result<Configuration> fetch_configuration(const Session& session) {
    const HttpResponse response =
        exchange_once(session.options.admin_address, {"GET", "/admin/v1/table", {}, ""}, TIMEOUT);
    if (response.stage != ExchangeStage::answered) {
        return Error{ErrorCode::unavailable, "no response", session.options.admin_address};
    }
    const Result<Json> document = parse_json(response.body, "table");
    return has_value(document) ? configuration_from(value_of(document))
                               : Result<Configuration>(error_of(document));
}

CtlExit set_cell(const Session& session, const std::vector<std::string>& arguments) {
    const Result<Configuration> fetched = fetch_configuration(session);
    if (!has_value(fetched)) {
        return fail(session, CtlExit::unreachable, describe(error_of(fetched)));
    }
    Configuration configuration = value_of(fetched);
    const Column* column = find_column(arguments[1]);
    if (column == nullptr) {
        return fail(session, CtlExit::bad_input, "unknown column \"" + arguments[1] + "\"");
    }
    for (ServiceRow& row : configuration.rows) {
        if (row.service != arguments[0]) {
            continue;
        }
        const Result<Json> value = parse_json(arguments[2], "value");
        if (!has_value(value) || !value_of(value).is_number_integer()) {
            return fail(session, CtlExit::bad_input,
                        column->name + " is \"" + arguments[2] + "\", allowed is a whole number");
        }
        row.*column->member = value_of(value).get<std::int64_t>();
        if (arguments.size() > 3) {
            row.reasons[column->name] = arguments[3];
        }
        return put_draft(session, to_document(configuration));
    }
    return fail(session, CtlExit::bad_input, "unknown service \"" + arguments[0] + "\"");
}

CtlExit edit_from_file(const Session& session, const std::vector<std::string>& arguments) {
    const Result<std::string> text = read_file(arguments[0]);
    const Result<Json> document =
        has_value(text) ? parse_json(value_of(text), arguments[0]) : Result<Json>(error_of(text));
    if (!has_value(document)) {
        return fail(session, CtlExit::bad_input, describe(error_of(document)));
    }
    return put_draft(session, value_of(document));
}

CtlExit export_csv(const Session& session, const std::vector<std::string>& arguments) {
    const Result<Configuration> configuration = fetch_configuration(session);
    if (!has_value(configuration)) {
        return fail(session, CtlExit::unreachable, describe(error_of(configuration)));
    }
    std::ofstream file(arguments[0]);
    file << table_to_csv(value_of(configuration).rows);
    return file.good() ? CtlExit::ok
                       : fail(session, CtlExit::bad_input, "cannot write \"" + arguments[0] + "\"");
}

CtlExit import_csv(const Session& session, const std::vector<std::string>& arguments) {
    const Result<std::string> text = read_file(arguments[0]);
    const Result<std::vector<ServiceRow>> rows =
        has_value(text) ? table_from_csv(value_of(text))
                        : Result<std::vector<ServiceRow>>(error_of(text));
    if (!has_value(rows)) {
        return fail(session, CtlExit::bad_input, describe(error_of(rows)));
    }
    const Result<Configuration> fetched = fetch_configuration(session);
    if (!has_value(fetched)) {
        return fail(session, CtlExit::unreachable, describe(error_of(fetched)));
    }
    Configuration configuration = value_of(fetched);
    configuration.rows = value_of(rows);
    return put_draft(session, to_document(configuration));
}

CtlExit check_table(const Session& session, const std::vector<std::string>& arguments) {
    const Result<std::string> text = read_file(arguments[0]);
    const Result<Json> document =
        has_value(text) ? parse_json(value_of(text), arguments[0]) : Result<Json>(error_of(text));
    const Result<Configuration> configuration = has_value(document)
                                                    ? configuration_from(value_of(document))
                                                    : Result<Configuration>(error_of(document));
    if (!has_value(configuration)) {
        return fail(session, CtlExit::bad_input, describe(error_of(configuration)));
    }
    session.output << "table is valid\n";
    return CtlExit::ok;
}

CtlExit check_settings(const Session& session, const std::vector<std::string>& arguments) {
    const Result<NodeSettings> settings = read_settings(arguments[0]);
    if (!has_value(settings)) {
        return fail(session, CtlExit::bad_input, describe(error_of(settings)));
    }
    session.output << "settings are valid\n";
    return CtlExit::ok;
}

CtlExit send_to_service(const Session& session, const std::string& path, const std::string& key,
                        const std::string& body) {
    HttpRequest request{"POST", "/v1/services/" + path, {{"X-Trace", "1"}}, body};
    if (!key.empty()) {
        request.headers["Idempotency-Key"] = key;
    }
    return send(session, session.options.caller_address, request, print_response);
}

/// A command with its function and the minimum and maximum number of its arguments.
struct Entry {
    CtlCommand command;
    std::size_t min_arguments = 0;
    std::size_t max_arguments = 0;
    std::function<CtlExit(const Session&, const std::vector<std::string>&)> run;
};

using Arguments = std::vector<std::string>;

/// Commands on the table.
std::vector<Entry> table_entries() {
    return {
        {{"table show", "", "show the table in effect"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return get(s, "/table", print_table);
         }},
        {{"table set", "SERVICE COLUMN VALUE [PROTECTS]", "draft a change of one cell"},
         3,
         4,
         set_cell},
        {{"table edit", "FILE", "draft a whole configuration from a JSON file"},
         1,
         1,
         edit_from_file},
        {{"table import", "FILE.csv", "draft the rows of a CSV file"}, 1, 1, import_csv},
        {{"table export", "FILE.csv", "write the table in effect to a CSV file"}, 1, 1, export_csv},
        {{"table check", "FILE", "check a configuration file without sending it"},
         1,
         1,
         check_table},
        {{"table diff", "", "show what the draft would change"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return get(s, "/draft", [](const Json& draft, std::ostream& output) {
                 print_changes(draft.at("changes"), output);
             });
         }},
        {{"table accept", "", "accept the draft"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return post(s, "/accept");
         }},
        {{"table history", "", "show accepted generations"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return get(s, "/history", print_history);
         }},
    };
}

/// Commands on data centres, hosts, nodes and services.
std::vector<Entry> service_entries() {
    return {
        {{"dc out", "NAME", "take a data centre out of service"},
         1,
         1,
         [](const Session& s, const Arguments& a) {
             return post(s, "/data-centres/" + a[0] + "/out");
         }},
        {{"dc in", "NAME", "return a data centre to service"},
         1,
         1,
         [](const Session& s, const Arguments& a) {
             return post(s, "/data-centres/" + a[0] + "/in");
         }},
        {{"host out", "NAME", "take a target host out of service"},
         1,
         1,
         [](const Session& s, const Arguments& a) {
             return post(s, "/hosts/" + a[0] + "/out");
         }},
        {{"host in", "NAME", "return a target host to service"},
         1,
         1,
         [](const Session& s, const Arguments& a) {
             return post(s, "/hosts/" + a[0] + "/in");
         }},
        {{"status", "",
          "show the node's generation, target groups (\"seats\" in JSON) and targets"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return get(s, "/status", print_status);
         }},
        {{"trace", "", "show the node's latest traces"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return get(s, "/traces", print_traces);
         }},
        {{"check", "FILE", "check a node's settings file"}, 1, 1, check_settings},
        {{"query", "SERVICE BODY", "send an idempotent request and trace it"},
         2,
         2,
         [](const Session& s, const Arguments& a) {
             return send_to_service(s, a[0] + "/query", "", a[1]);
         }},
        {{"submit", "SERVICE KEY BODY", "send a non-idempotent request"},
         3,
         3,
         [](const Session& s, const Arguments& a) {
             return send_to_service(s, a[0] + "/submit", a[1], a[2]);
         }},
    };
}

std::vector<Entry> make_entries() {
    std::vector<Entry> all = table_entries();
    const std::vector<Entry> others = service_entries();
    all.insert(all.end(), others.begin(), others.end());
    return all;
}

const std::vector<Entry>& entries() {
    static const std::vector<Entry> all = make_entries();
    return all;
}

/// The arguments that follow the command's words, or nothing if `words` does not start with them.
std::optional<Arguments> match_command(const Entry& entry, const Arguments& words) {
    std::istringstream expected(entry.command.words);
    std::string word;
    std::size_t position = 0;
    while (expected >> word) {
        if (position >= words.size() || words[position] != word) {
            return std::nullopt;
        }
        ++position;
    }
    return Arguments(words.begin() + static_cast<std::ptrdiff_t>(position), words.end());
}

}  // namespace

const std::vector<CtlCommand>& ctl_commands() {
    static const std::vector<CtlCommand> all = [] {
        std::vector<CtlCommand> commands;
        for (const Entry& entry : entries()) {
            commands.push_back(entry.command);
        }
        return commands;
    }();
    return all;
}

CtlExit run_ctl(const CtlOptions& options, const std::vector<std::string>& words,
                std::ostream& output, std::ostream& errors) {
    const Session session{options, output, errors};
    for (const Entry& entry : entries()) {
        const std::optional<Arguments> arguments = match_command(entry, words);
        if (!arguments.has_value()) {
            continue;
        }
        if (arguments->size() < entry.min_arguments || arguments->size() > entry.max_arguments) {
            return fail(session, CtlExit::bad_input,
                        "use: " + entry.command.words + " " + entry.command.arguments);
        }
        return entry.run(session, *arguments);
    }
    return fail(session, CtlExit::bad_input,
                words.empty() ? "a command is missing" : "unknown command \"" + words[0] + "\"");
}

}  // namespace ebonymount
