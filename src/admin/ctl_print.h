// Prints the JSON documents of the administration and caller APIs as text.
#pragma once

#include <ostream>

#include "io/documents.h"

namespace ebonymount {

/// A row per cell: service, column, value, unit and what the cell protects. Then lists the data
/// centres and hosts that are out of service.
void print_table(const Json& table, std::ostream& output);

/// A line per changed cell.
void print_changes(const Json& changes, std::ostream& output);

/// Accepted generations with their changes.
void print_history(const Json& history, std::ostream& output);

/// A node's generation, target groups with their lease holders, targets and retry budgets.
void print_status(const Json& status, std::ostream& output);

/// Traces, with an indented line per span.
void print_traces(const Json& traces, std::ostream& output);

/// Outcome, verdict, coverage and results of a request, or its error.
void print_response(const Json& response, std::ostream& output);

}  // namespace ebonymount
