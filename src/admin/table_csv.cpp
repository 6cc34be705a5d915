#include "admin/table_csv.h"

#include <charconv>

namespace ebonymount {
namespace {

constexpr std::size_t FIELD_COUNT = 5;
const std::string HEADER = "service,column,value,unit,protects";

using Fields = std::vector<std::string>;

std::string quote_field(const std::string& field) {
    if (field.find_first_of(",\"\n\r") == std::string::npos) {
        return field;
    }
    std::string quoted = "\"";
    for (const char character : field) {
        quoted += character == '"' ? "\"\"" : std::string(1, character);
    }
    return quoted + "\"";
}

Error line_error(std::size_t line, const std::string& message, const std::string& offender) {
    return {ErrorCode::invalid_input, "line " + std::to_string(line) + ": " + message, offender};
}

/// Splits CSV text into lines of fields.
std::vector<Fields> split_csv(const std::string& text) {
    std::vector<Fields> lines(1);
    std::string field;
    bool quoted = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        const bool is_escaped_quote =
            quoted && character == '"' && index + 1 < text.size() && text[index + 1] == '"';
        if (is_escaped_quote) {
            field += '"';
            ++index;
        } else if (character == '"') {
            quoted = !quoted;
        } else if (!quoted && character == ',') {
            lines.back().push_back(std::move(field));
            field.clear();
        } else if (!quoted && character == '\n') {
            lines.back().push_back(std::move(field));
            field.clear();
            lines.emplace_back();
        } else if (quoted || character != '\r') {
            field += character;
        }
    }
    if (!field.empty() || !lines.back().empty()) {
        lines.back().push_back(std::move(field));
    }
    if (lines.back().empty()) {
        lines.pop_back();
    }
    return lines;
}

ServiceRow& find_or_add_row(std::vector<ServiceRow>& rows, const std::string& service) {
    for (ServiceRow& row : rows) {
        if (row.service == service) {
            return row;
        }
    }
    rows.emplace_back();
    rows.back().service = service;
    return rows.back();
}

Result<Done> read_cell(const Fields& fields, std::size_t line, std::vector<ServiceRow>& rows) {
    if (fields.size() != FIELD_COUNT) {
        return line_error(line, "found " + std::to_string(fields.size()) + " fields, allowed is 5",
                          fields.front());
    }
    const Column* column = find_column(fields[1]);
    if (column == nullptr) {
        return line_error(line, "unknown column", fields[1]);
    }
    if (fields[3] != column->unit) {
        return line_error(line, "unit of " + column->name + " must be " + column->unit, fields[3]);
    }
    std::int64_t value = 0;
    const char* end = fields[2].data() + fields[2].size();
    const std::from_chars_result parsed = std::from_chars(fields[2].data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return line_error(line, column->name + " is not a whole number", fields[2]);
    }
    ServiceRow& row = find_or_add_row(rows, fields[0]);
    row.*column->member = value;
    if (fields[4] != column->protects) {
        row.reasons[column->name] = fields[4];
    }
    return Done{};
}

}  // namespace

std::string table_to_csv(const std::vector<ServiceRow>& rows) {
    std::string text = HEADER + "\n";
    for (const ServiceRow& row : rows) {
        for (const Column& column : columns()) {
            text += quote_field(row.service) + "," + column.name + "," +
                    std::to_string(row.*column.member) + "," + column.unit + "," +
                    quote_field(protection_of(row, column)) + "\n";
        }
    }
    return text;
}

Result<std::vector<ServiceRow>> table_from_csv(const std::string& text) {
    const std::vector<Fields> lines = split_csv(text);
    if (lines.empty() || table_to_csv({}) != text.substr(0, HEADER.size() + 1)) {
        return line_error(1, "the header must be " + HEADER, text.substr(0, HEADER.size()));
    }
    std::vector<ServiceRow> rows;
    for (std::size_t index = 1; index < lines.size(); ++index) {
        const Result<Done> read = read_cell(lines[index], index + 1, rows);
        if (!has_value(read)) {
            return error_of(read);
        }
    }
    return rows;
}

}  // namespace ebonymount
