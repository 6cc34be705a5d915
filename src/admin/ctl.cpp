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

constexpr Duration TIMEOUT = from_ms(10000);

/// One run of the command line.
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

/// Sends a request and prints the answer, or the error that it carries.
CtlExit send(const Session& session, const std::string& address, const HttpRequest& request,
             const Printer& print) {
    const HttpResponse answer = exchange_once(address, request, TIMEOUT);
    if (answer.stage != ExchangeStage::answered) {
        return fail(session, CtlExit::unreachable,
                    "no answer from " + address + ": " + answer.error);
    }
    const Json document = Json::parse(answer.body, nullptr, false);
    if (document.is_discarded()) {
        return fail(session, CtlExit::refused, "the answer is not JSON");
    }
    if (session.options.json) {
        session.output << document.dump(2) << "\n";
    } else if (answer.status == http::OK) {
        print(document, session.output);
    } else {
        session.errors << "ebonymountctl: refused (" << document.value("error", "")
                       << "): " << document.value("message", "") << " \""
                       << document.value("offender", "") << "\"\n";
    }
    return answer.status == http::OK ? CtlExit::ok : CtlExit::refused;
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
        output << "draft over generation " << document.value("base_generation", 0) << "\n";
        print_changes(document.at("changes"), output);
    };
    return send(session, session.options.admin_address,
                {"PUT", "/admin/v1/draft", {}, configuration.dump()}, print);
}

/// The configuration in force at the node, to base a draft on.
Result<Configuration> fetch_configuration(const Session& session) {
    const HttpResponse answer =
        exchange_once(session.options.admin_address, {"GET", "/admin/v1/table", {}, ""}, TIMEOUT);
    if (answer.stage != ExchangeStage::answered) {
        return Error{ErrorCode::unavailable, "no answer", session.options.admin_address};
    }
    const Result<Json> document = parse_json(answer.body, "table");
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

CtlExit ask(const Session& session, const std::string& path, const std::string& key,
            const std::string& body) {
    HttpRequest request{"POST", "/v1/services/" + path, {{"X-Trace", "1"}}, body};
    if (!key.empty()) {
        request.headers["Idempotency-Key"] = key;
    }
    return send(session, session.options.caller_address, request, print_answer);
}

/// A command with the least and most number of its arguments.
struct Entry {
    CtlCommand command;
    std::size_t least = 0;
    std::size_t most = 0;
    std::function<CtlExit(const Session&, const std::vector<std::string>&)> run;
};

using Arguments = std::vector<std::string>;

/// Commands on the table.
std::vector<Entry> table_entries() {
    return {
        {{"table show", "", "show the table in force"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return get(s, "/table", print_table);
         }},
        {{"table set", "SERVICE COLUMN VALUE [PROTECTS]", "draft a change of one cell"},
         3,
         4,
         set_cell},
        {{"table edit", "FILE", "draft a whole configuration from JSON"}, 1, 1, edit_from_file},
        {{"table import", "FILE.csv", "draft the rows of a CSV file"}, 1, 1, import_csv},
        {{"table export", "FILE.csv", "write the table in force as CSV"}, 1, 1, export_csv},
        {{"table check", "FILE", "check a configuration without sending it"}, 1, 1, check_table},
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

/// Commands on data centres, hosts and nodes.
std::vector<Entry> service_entries() {
    return {
        {{"dc out", "NAME", "take a data centre out of service"},
         1,
         1,
         [](const Session& s, const Arguments& a) {
             return post(s, "/data-centres/" + a[0] + "/out");
         }},
        {{"dc in", "NAME", "bring a data centre back"},
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
        {{"host in", "NAME", "bring a target host back"},
         1,
         1,
         [](const Session& s, const Arguments& a) {
             return post(s, "/hosts/" + a[0] + "/in");
         }},
        {{"status", "", "show seats, targets and generation of the node"},
         0,
         0,
         [](const Session& s, const Arguments&) {
             return get(s, "/status", print_status);
         }},
        {{"trace", "", "show the latest traces of the node"},
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
             return ask(s, a[0] + "/query", "", a[1]);
         }},
        {{"submit", "SERVICE KEY BODY", "send a non-idempotent request"},
         3,
         3,
         [](const Session& s, const Arguments& a) {
             return ask(s, a[0] + "/submit", a[1], a[2]);
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

/// The arguments behind the command's words, or nothing when the words are another command's.
std::optional<Arguments> match(const Entry& entry, const Arguments& words) {
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
        const std::optional<Arguments> arguments = match(entry, words);
        if (!arguments.has_value()) {
            continue;
        }
        if (arguments->size() < entry.least || arguments->size() > entry.most) {
            return fail(session, CtlExit::bad_input,
                        "use: " + entry.command.words + " " + entry.command.arguments);
        }
        return entry.run(session, *arguments);
    }
    return fail(session, CtlExit::bad_input,
                words.empty() ? "a command is missing" : "unknown command \"" + words[0] + "\"");
}

}  // namespace ebonymount
